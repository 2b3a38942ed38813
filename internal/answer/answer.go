// Package answer parses the notices that endpoints send about themselves in response headers. All clients of endpoints
// use it.
package answer

import (
	"net/http"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/retryafter"
)

// yes is the value of a boolean header that is set.
const yes = "1"

// Headers holds the names of the non-standard headers in which endpoints send notices.
type Headers struct {
	Leaving string // "1": the endpoint is about to stop
	Limit   string // requests per second that the endpoint accepts from all instances together
	// Rejections is the number of requests that the endpoint can reject in a second without exiting.
	Rejections string
}

// Notice parses the notice in the header of a response with the given status. Retry-After is only considered if the
// endpoint rejected the request with 503 or 429.
func Notice(status int, h http.Header, names Headers) pool.Notice {
	w := pool.Notice{
		Leaving: slices.Contains(h.Values(names.Leaving), yes), Limit: limit.FromHeader(h.Values(names.Limit)),
		Rejections: limit.FromHeader(h.Values(names.Rejections)),
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Backoff, _ = retryafter.Of(h, time.Now())
	}
	return w
}
