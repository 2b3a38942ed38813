package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Problem is the problem document (RFC 9457) in which callers and operators receive an error.
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Verdict    string `json:"verdict"`
	Field      string `json:"field,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
	RetryAfter int64  `json:"retry_after_s,omitempty"`
}

const (
	problemType        = "urn:ledgemount:problem:"
	problemContentType = "application/problem+json"
)

// NewProblem returns the problem document of an error.
func NewProblem(err error, request string) Problem {
	e := verdict.From(err)
	return Problem{
		Type: problemType + string(e.Code()), Title: string(e.Code()), Status: e.Code().Status(), Detail: e.Detail(),
		Verdict: e.Verdict().String(), Field: e.Field(), RequestID: request, RetryAfter: ceilSeconds(e.RetryAfter()),
	}
}

func ceilSeconds(d time.Duration) int64 { return int64(math.Ceil(d.Seconds())) }

// WriteProblem sends an error as a problem document, with the verdict header.
func WriteProblem(w http.ResponseWriter, err error, request string) {
	p := NewProblem(err, request)
	h := w.Header()
	h.Set("Content-Type", problemContentType)
	h.Set(chat.HeaderVerdict, p.Verdict)
	if request != "" {
		h.Set(chat.HeaderRequestID, request)
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(p.RetryAfter, 10))
	}
	b, _ := json.Marshal(p)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(b)
}
