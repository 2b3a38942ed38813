// Package wire defines what instances and model engines exchange in addition to chat completions: load, orders, cancel
// and resume.
package wire

import (
	"strconv"
	"strings"

	"github.com/ledgemount/ledgemount/internal/chat"
)

// Paths that a model engine serves.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/" // + run ID: GET resumes (?offset=tokens), DELETE cancels
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Load is the state that an engine reports. It may be out of date.
type Load struct {
	Running  int    `json:"running"`
	Capacity int    `json:"capacity"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role"`
	Fence    int64  `json:"fence"`
}

// Order is the request to an engine to load a version or to change its role. Engines that check fencing tokens refuse an
// order whose token is smaller than an earlier one.
type Order struct {
	Fence   int64  `json:"fence"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Stopped is the response to a cancel. Known reports whether the engine ran the request, and Usage how many tokens it
// used.
type Stopped struct {
	RequestID string     `json:"request_id"`
	Known     bool       `json:"known"`
	Usage     chat.Usage `json:"usage"`
}

// ResponseID returns the id field of every piece of a response: request and attempt.
func ResponseID(request string, attempt int) string {
	return request + "." + strconv.Itoa(attempt)
}

// SplitResponseID splits an ID that ResponseID returned.
func SplitResponseID(id string) (request string, attempt int, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(id[i+1:])
	return id[:i], n, err == nil
}

// Paths of an engine's prompt cache.
const (
	PathEvents = "/cache/events"  // ?after=SEQ
	PathKV     = "/cache/blocks/" // + block in hexadecimal: GET exports, PUT imports
)

// CacheEvent reports that an engine has stored or evicted a block of its prompt cache. Sequence numbers increase by one; a
// missing one indicates a lost event.
type CacheEvent struct {
	Seq     int64  `json:"seq" cbor:"1,keyasint"`
	Block   uint64 `json:"block,string" cbor:"2,keyasint"`
	Evicted bool   `json:"evicted,omitempty" cbor:"3,keyasint,omitempty"`
}

// CacheEvents is the response to a request for events. Events arrive late, and some are lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
