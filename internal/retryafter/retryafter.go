// Package retryafter parses the Retry-After header of HTTP responses.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const header = "Retry-After"

// Max caps the parsed delay. A server that names a longer one has more likely made a mistake than meant it.
const Max = 24 * time.Hour

// Of returns the delay that the Retry-After field of a response header asks for. The field holds a number of seconds,
// fractions allowed, or a date (RFC 9110, 10.2.3); of several values the longest delay counts. ok is false if no value
// is valid or none lies in the future. now is the wall-clock time, to which a date is compared if the header has no
// Date field.
func Of(h http.Header, now time.Time) (d time.Duration, ok bool) {
	for _, v := range h.Values(header) {
		if one, valid := parse(strings.TrimSpace(v), h, now); valid {
			d = max(d, one)
		}
	}
	return d, d > 0
}

func parse(v string, h http.Header, now time.Time) (time.Duration, bool) {
	if at, err := http.ParseTime(v); err == nil {
		return min(Max, at.Sub(sent(h, now))), true
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s <= 0 {
		return 0, false
	}
	if s >= Max.Seconds() {
		return Max, true
	}
	return time.Duration(s * float64(time.Second)), true
}

// sent returns the time at which the response was sent, by the server's clock if the header has a Date field: the
// server's clock and the local one may differ.
func sent(h http.Header, now time.Time) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return now
}
