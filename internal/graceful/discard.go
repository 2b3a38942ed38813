package graceful

import (
	"io"
	"net/http"
	"time"
)

// Limits of what is read of a body after the response has been sent.
const (
	discardTime  = 2 * time.Second
	discardBytes = 16 << 20
)

// DiscardBody sends what a handler has written and then reads the rest of the request's body. A connection that is closed
// with unread data is reset, and a caller that is still sending may lose the response. The response has to state its length.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, discardBytes)) // the caller may stop sending at any time
	_ = rc.SetReadDeadline(time.Time{})                              // the connection supports it, see above
}
