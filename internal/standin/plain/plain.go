// Package plain is a stand-in for a plain service, such as payments or account look-ups.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/standin"
)

// Fault is one way in which the service can fail.
type Fault string

// The faults.
const (
	Crash        Fault = "crash"   // runs the call, then closes the connection without a response
	Slow         Fault = "slow"    // responds late
	Refuse       Fault = "refuse"  // responds with 503 and runs nothing
	MismatchedID Fault = "crossed" // responds with another request's ID
	slowDelay          = 200 * time.Millisecond
	faultEvery         = 4
)

const maxBody = 1 << 20

// Response is the service's response to every call.
type Response struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Echo      string `json:"echo"`
}

// Service is the stand-in.
type Service struct {
	standin.Switches[Fault]

	delay time.Duration

	mu    sync.Mutex
	runs  map[string]int
	calls int64
}

// New makes a service that responds after delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, runs: make(map[string]int)}
}

// Runs returns how often a body was run, under any request ID.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

func (s *Service) record(body string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	s.calls++
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.On(Refuse) {
		w.Header().Set(chat.HeaderVerdict, "not-run")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	id := r.Header.Get(chat.HeaderRequestID)
	n := s.record(string(body))
	time.Sleep(s.delay)
	if s.On(Slow) {
		time.Sleep(slowDelay)
	}
	if s.On(Crash) && n%faultEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	responseID := id
	if s.On(MismatchedID) && n%faultEvery == 1 {
		responseID = "someone-else"
	}
	w.Header().Set(chat.HeaderRequestID, responseID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{RequestID: responseID, Path: r.URL.Path, Echo: string(body)})
}
