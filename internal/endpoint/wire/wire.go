// Package wire has what instances and model engines exchange beside chat completions: load, orders, cancel and resume.
package wire

import (
	"strconv"
	"strings"

	"github.com/ledgemount/ledgemount/internal/chat"
)

// The paths of a model engine.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/" // + request id: GET resumes (?offset=tokens), DELETE cancels
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Load is what an engine reports of itself, with a lag.
type Load struct {
	Running  int    `json:"running"`
	Capacity int    `json:"capacity"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role"`
	Fence    int64  `json:"fence"`
}

// Order tells an engine to load a version or to change role. Engines that check refuse falling fences.
type Order struct {
	Fence   int64  `json:"fence"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Stopped answers a cancel: whether the engine ever ran the request, and how far.
type Stopped struct {
	RequestID string     `json:"request_id"`
	Known     bool       `json:"known"`
	Usage     chat.Usage `json:"usage"`
}

// ResponseID is the id field of every piece of an answer: request and attempt.
func ResponseID(request string, attempt int) string {
	return request + "." + strconv.Itoa(attempt)
}

// SplitResponseID undoes AnswerID.
func SplitResponseID(id string) (request string, attempt int, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(id[i+1:])
	return id[:i], n, err == nil
}

// The paths of an engine's prompt cache.
const (
	PathEvents = "/cache/events"  // ?after=SEQ
	PathKV     = "/cache/blocks/" // + block in hexadecimal: GET exports, PUT imports
)

// CacheEvent reports that an engine has stored or evicted a block of prompts. Numbers rise by one; a missing one is a gap.
type CacheEvent struct {
	Seq     int64  `json:"seq" cbor:"1,keyasint"`
	Block   uint64 `json:"block,string" cbor:"2,keyasint"`
	Evicted bool   `json:"evicted,omitempty" cbor:"3,keyasint,omitempty"`
}

// CacheEvents answers a question for events. They come late, and some never.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
