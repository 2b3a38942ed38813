package budget

import (
	"math"
	"time"
)

const (
	rateHalfLife     = 10 * time.Second
	typicalSizeDecay = 8 // each reservation lowers the typical size by 1/typicalSizeDecay
)

// reservation is an open reservation at the holder.
type reservation struct {
	request    string
	customer   string
	owner      string // serving instance
	place      Place
	tokens     int64
	used       int64 // tokens used by the run at place, if its owner has reported them; otherwise 0
	keyed      bool
	since      time.Time
	orphanedAt time.Time // when the wait for a missing owner began; zero while the owner is alive
}

// account is a holder's in-memory state for one budget. The holder's lock guards it.
type account struct {
	budget   string
	customer string
	granted  int64 // total granted, less what was returned
	onRow    bool  // the row has a grant of this holder, which may be empty
	settled  int64 // total spent
	stored   int64 // the part of settled whose charges are in the journal
	reserved int64
	seq      uint64
	open     map[string]*reservation
	done     map[string]doneMark // recently settled keyed requests

	createdAt   time.Time
	rate        float64 // tokens per second, before the correction for a young account
	rateAt      time.Time
	typicalSize int64 // size of the larger recent reservations
	lastUse     time.Time

	busy         chan struct{} // closed when the store operation in progress ends; nil if none
	blockedUntil time.Time     // the grant is not increased before this time
	increaseErr  error         // error of the last increase of the grant, if a reservation waited for it; otherwise nil
}

type doneMark struct {
	tokens int64
	owner  string // serving instance
	place  Place
	at     time.Time
}

func newAccount(budget string, now time.Time) *account {
	return &account{
		budget:    budget,
		open:      make(map[string]*reservation),
		done:      make(map[string]doneMark),
		createdAt: now,
		rateAt:    now,
		lastUse:   now,
	}
}

// available returns the tokens that can be reserved without an increase of the grant.
func (a *account) available() int64 { return a.granted - a.settled - a.reserved }

// recordUse adds n spent tokens to the rate.
func (a *account) recordUse(n int64, now time.Time) {
	a.rate = a.decayedRate(now) + float64(n)*math.Ln2/rateHalfLife.Seconds()
	a.rateAt = now
	a.lastUse = now
}

// minRateAge limits the extrapolation for young accounts: a younger account is treated as this old.
const minRateAge = 500 * time.Millisecond

// rateNow returns the recent use in tokens per second. The average starts at zero, so the rate of a young account is
// corrected for the time before the account existed.
func (a *account) rateNow(now time.Time) float64 {
	age := max(now.Sub(a.createdAt), minRateAge)
	return a.decayedRate(now) / (1 - math.Exp2(-age.Seconds()/rateHalfLife.Seconds()))
}

func (a *account) decayedRate(now time.Time) float64 {
	dt := now.Sub(a.rateAt).Seconds()
	if dt <= 0 {
		return a.rate
	}
	return a.rate * math.Exp2(-dt/rateHalfLife.Seconds())
}

// reserve opens a reservation. The caller has checked that the tokens are available.
func (a *account) reserve(r *reservation) {
	a.open[r.request] = r
	a.reserved += r.tokens
	a.typicalSize = max(r.tokens, a.typicalSize-a.typicalSize/typicalSizeDecay)
	a.lastUse = r.since
}

// settle closes a reservation and returns the charge: the tokens used, at most those reserved.
func (a *account) settle(r *reservation, used int64, now time.Time) int64 {
	used = max(0, min(used, r.tokens))
	delete(a.open, r.request)
	a.reserved -= r.tokens
	a.settled += used
	a.recordUse(used, now)
	if r.keyed && used > 0 { // a request that used nothing may be reserved again
		a.done[r.request] = doneMark{tokens: used, owner: r.owner, place: r.place, at: now}
	}
	return used
}

// pruneDone drops the marks of settled requests that are older than the retention period.
func (a *account) pruneDone(now time.Time, retention time.Duration) {
	for id, m := range a.done {
		if now.Sub(m.at) > retention {
			delete(a.done, id)
		}
	}
}
