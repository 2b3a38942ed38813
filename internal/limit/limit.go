// Package limit keeps what all instances together send to an endpoint under the rate that the endpoint names in its answers.
//
// The load that it answers: an endpoint in need names a few requests a second for all instances, and each of six or three hundred instances has a
// part of what it gets; what none of them exceeds, their sum does. So the rate is divided like a budget. Each instance has an even part of its own,
// a Division gives it up to another instance for some seconds, and that one lends what was given up to those who have the requests. A part is in use
// at one place at any time, also in a cut, across restarts, and where two instances believe that they divide. Replays: TestDivision here,
// TestEndpointLimit.
package limit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// most is the highest rate that is believed, in requests a second: above it a limit bounds nothing.
	most = 1e6
	// asking is the rate, in requests a second, that an endpoint gets that takes less: without any request nobody would hear that it takes more again.
	asking = 0.5
	// life is how long a limit holds that was not named again, and how long it is remembered that one was lifted.
	life = 10 * time.Minute
)

// Rate is a number of requests a second that an endpoint takes. Its zero value reports that none is named.
type Rate struct {
	perSecond float64
	named     bool
}

// PerSecond makes a Rate.
func PerSecond(x float64) Rate { return Rate{perSecond: min(max(0, x), most), named: true} }

// IsSet reports whether a rate is named at all.
func (r Rate) IsSet() bool { return r.named }

// PerSecond is the rate as it was named, in requests a second.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Bound is the rate that is kept to, in requests a second.
func (r Rate) Bound() float64 { return max(r.perSecond, asking) }

// FromHeader reads the rates that a head names. FromHeader several the lowest counts; what is no number of requests a second names none.
func FromHeader(values []string) Rate {
	var out Rate
	for _, v := range values {
		if r, ok := parse(strings.TrimSpace(v)); ok && (!out.named || r.perSecond < out.perSecond) {
			out = r
		}
	}
	return out
}

func parse(v string) (Rate, bool) {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return Rate{}, false
	}
	return PerSecond(x), true
}

// State is what is known of the limit of one run of an endpoint's process. Answers are under way in any order, and other instances tell older ones.
type State struct {
	rate    Rate
	named   time.Time // when the head of an answer last named it
	missing time.Time // when the last request was sent whose answer named none
}

// Active reports whether the limit counts.
func (k State) Active(now time.Time) bool {
	return !k.named.IsZero() && !k.missing.After(k.named) && now.Sub(k.named) < life
}

// Expired reports whether nothing that is known matters any more.
func (k State) Expired(now time.Time) bool {
	return now.Sub(k.named) >= life && now.Sub(k.missing) >= life
}

// Rate is the limit, if it holds.
func (k State) Rate(now time.Time) Rate {
	if !k.Active(now) {
		return Rate{}
	}
	return k.rate
}

// AnnouncedAt is when the limit was last named.
func (k State) AnnouncedAt() time.Time { return k.named }

// OmittedAt is when the last request was sent whose answer named none.
func (k State) OmittedAt() time.Time { return k.missing }

// LastRate is the rate that was last named, whether it holds or not.
func (k State) LastRate() Rate { return k.rate }

// Observe takes an answer's head, to a request that was sent at a moment.
//
// An answer that names none lifts the limit only if its request was sent after the limit had last been named: one that began before may come later.
// Where two answers that were under way at once name two rates, the lower one holds until the next answer.
func (k *State) Observe(r Rate, sent, now time.Time) {
	switch {
	case !r.named:
		if sent.After(k.missing) {
			k.missing = sent
		}
		return
	case k.Active(now) && !sent.After(k.named) && r.perSecond > k.rate.perSecond:
	default:
		k.rate = r
	}
	k.named = now
}

// Merge takes what another instance has observed itself. Told twice, late or in another order, it comes to the same.
func (k *State) Merge(other State) {
	if other.named.After(k.named) {
		k.rate, k.named = other.rate, other.named
	}
	if other.missing.After(k.missing) {
		k.missing = other.missing
	}
}

// NewState makes what another instance has heard from what it says: the rate that was last named and when, and when a request was sent whose answer
// named none. A zero time reports that there was none.
func NewState(r Rate, named, missing time.Time) State {
	return State{rate: r, named: named, missing: missing}
}
