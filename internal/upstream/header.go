package upstream

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/cleaneof"
	"github.com/ledgemount/ledgemount/internal/httpcheck"
)

// Limits of the header of a response.
const (
	maxHeaderBytes       = 16 << 10        // of a response, including its interim responses
	defaultHeaderTimeout = 3 * time.Second // from the first bytes of a header to its end
)

// Errors of responses that exceed these limits. The endpoint may have run the request.
var (
	ErrHeaderTooLarge = errors.New("the header of the response is too large")
	ErrHeaderTimeout  = errors.New("the header of the response was not complete in time")
	ErrNoStatusLine   = errors.New("the response does not begin with a status line")
)

// ProtocolFault names the way in which a response violates the protocol, for logs and metrics.
type ProtocolFault string

// The ways in which responses violate the protocol.
const (
	FaultHeaderSize ProtocolFault = "header-size"
	FaultHeaderTime ProtocolFault = "header-time"
	FaultInterim    ProtocolFault = "interim"
	FaultFraming    ProtocolFault = "framing"
	FaultStatusLine ProtocolFault = "status-line"
	FaultStatus     ProtocolFault = "status"
	FaultField      ProtocolFault = "field"
	// FaultInterrupted is a response whose connection failed while the request was being written.
	FaultInterrupted ProtocolFault = "interrupted"
)

// invalidFaults are the faults by the errors of httpcheck.
var invalidFaults = map[error]ProtocolFault{
	httpcheck.ErrTooManyInterim: FaultInterim, httpcheck.ErrStatus: FaultStatus, httpcheck.ErrField: FaultField,
}

// ProtocolFaultOf returns how the response violated the protocol whose exchange returned err; empty if it did not.
func ProtocolFaultOf(err error) ProtocolFault {
	switch {
	case errors.Is(err, ErrHeaderTooLarge):
		return FaultHeaderSize
	case errors.Is(err, ErrHeaderTimeout):
		return FaultHeaderTime
	case errors.Is(err, ErrNoStatusLine):
		return FaultStatusLine
	case errors.Is(err, errFraming):
		return FaultFraming
	case errors.Is(err, cleaneof.ErrInterrupted):
		return FaultInterrupted
	}
	return invalidFaults[httpcheck.Cause(err)]
}

// statusLinePrefix is how each response begins.
const statusLinePrefix = "HTTP/1."

// headerReader reads from a connection. While it reads a header, it returns no more than maxHeaderBytes and closes the
// connection if the header is not complete within timeout. It fails at the first byte that no header begins with.
type headerReader struct {
	conn    io.ReadCloser
	limited bool
	timeout time.Duration
	left    int
	prefix  string      // the part of statusLinePrefix that has not been read
	begun   bool        // the first bytes of the header have been read
	timer   *time.Timer // nil: they were the whole header so far
	expired atomic.Bool
}

// begin starts the limits for the next header. timeout is the time from its first bytes to its end; 0: the default.
func (r *headerReader) begin(timeout time.Duration) {
	r.timeout = cmp.Or(timeout, defaultHeaderTimeout)
	r.limited, r.left, r.prefix, r.begun = true, maxHeaderBytes, statusLinePrefix, false
}

// restart gives the rest of a header, after an interim response, its own time.
func (r *headerReader) restart() {
	r.begun = false
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
}

// end ends the limits. It reports whether the header was complete in time.
func (r *headerReader) end() bool {
	r.restart()
	r.limited = false
	return !r.expired.Load()
}

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(p)
	}
	if r.left == 0 {
		return 0, ErrHeaderTooLarge
	}
	if r.begun && r.timer == nil {
		r.timer = time.AfterFunc(r.timeout, r.expire)
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.begun = r.begun || n > 0
	if !r.matchesPrefix(p[:n]) {
		return 0, ErrNoStatusLine
	}
	if err != nil && r.expired.Load() {
		err = ErrHeaderTimeout
	}
	return n, err
}

// matchesPrefix reports whether the next bytes of a header may be those of a status line.
func (r *headerReader) matchesPrefix(p []byte) bool {
	n := min(len(p), len(r.prefix))
	matches := string(p[:n]) == r.prefix[:n]
	r.prefix = r.prefix[n:]
	return matches
}

func (r *headerReader) expire() {
	r.expired.Store(true)
	_ = r.conn.Close()
}

// readHeader reads the header of the response and skips interim (1xx) responses.
func (x *exchange) readHeader(req *Request) (*Response, error) {
	limits, method := x.conn.header, req.Method
	limits.begin(req.HeaderTimeout)
	defer limits.end()
	for range httpcheck.MaxInterim + 1 {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := httpcheck.Response(res); err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			limits.restart()
			continue
		}
		if len(res.Header.Values("Content-Length")) > 1 {
			return nil, errFraming
		}
		if !limits.end() {
			return nil, ErrHeaderTimeout
		}
		x.header, x.closeAfter = res.Header, res.Close
		return &Response{
			Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, NoBody: hasNoBody(method, res.StatusCode), Body: &body{exchange: x, response: res},
		}, nil
	}
	return nil, httpcheck.ErrTooManyInterim
}
