// Package answer reads what an endpoint says of itself in the head of an answer, for all who speak to endpoints.
package answer

import (
	"net/http"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/retryafter"
)

// yes is the value of a header that only says yes.
const yes = "1"

// Word reads the word in a head with a status. leaving names the header by which endpoints say that they leave. A time for which the endpoint wants
// nothing counts where it turns a request away.
func Word(status int, h http.Header, leaving string) pool.Word {
	w := pool.Word{Leaving: slices.Contains(h.Values(leaving), yes)}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Rest, _ = retryafter.Of(h, time.Now())
	}
	return w
}
