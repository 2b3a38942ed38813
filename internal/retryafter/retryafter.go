// Package retryafter reads for how long an HTTP server asks its client to stay away.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const header = "Retry-After"

// Max is the longest time that is believed. A longer one is taken for it: it is more likely a mistake than meant.
const Max = 24 * time.Hour

// Of reads the Retry-After field of an answer's head: a number of seconds, fractions too, or a date (RFC 9110, 10.2.3). Of several
// values the longest time counts. ok is false where there is none that can be read, or none that lies ahead. now is the time of day, for a
// date in a head that does not tell its own.
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

// sent is when the answer was sent, by the server's own time of day if the head tells it: the two may differ.
func sent(h http.Header, now time.Time) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return now
}
