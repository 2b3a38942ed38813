// Package answer reads what an endpoint reports of itself in the head of an answer, for all who speak to endpoints.
package answer

import (
	"net/http"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/retryafter"
)

// yes is the value of a header that only says yes.
const yes = "1"

// Headers name the headers of endpoints' words that are not standard ones.
type Headers struct {
	Leaving string // "1": the endpoint leaves
	Limit   string // requests a second that it takes from all instances together
}

// Notice reads the word in a head with a status. A time for which the endpoint wants nothing counts where it turns a request away.
func Notice(status int, h http.Header, names Headers) pool.Notice {
	w := pool.Notice{Leaving: slices.Contains(h.Values(names.Leaving), yes), Limit: limit.FromHeader(h.Values(names.Limit))}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Rest, _ = retryafter.Of(h, time.Now())
	}
	return w
}
