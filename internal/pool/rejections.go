package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// rejectionLimit is in force while the endpoints of a service announce that each of them exits if it has to reject more
// requests in a second than it states, those of all instances together. Then all instances together send an endpoint no
// more requests than it runs at once, so that none has to wait there. Each instance sends an even share, which needs no
// message and holds during partitions. After a rejection, an instance sends the endpoint nothing for so long that all of
// them together cause no more rejections than it tolerates.
type rejectionLimit struct {
	rate        limit.Rate // rejections per second that an endpoint tolerates
	announcedAt time.Time
	place, size uint64 // of this instance, and the number of instances
	checked     time.Time
}

const (
	rejectionLimitTTL = 10 * time.Second // since the last announcement; all responses of an endpoint have it
	plannedSlots      = 0.9              // share of an endpoint's slots that is divided among the instances
	minRejectionPause = time.Second      // of an instance, after an endpoint has rejected one of its requests
	maxRejectionPause = 8 * time.Second
)

// rejectionLimitOf returns the rejection limit of a service's endpoints; nil: none is in force. The caller holds mu.
func (p *Pool) rejectionLimitOf(service string, now time.Time) *rejectionLimit {
	r := p.rejectionLimits[service]
	if r == nil {
		return nil
	}
	if now.Sub(r.announcedAt) > rejectionLimitTTL {
		delete(p.rejectionLimits, service)
		return nil
	}
	if r.checked.IsZero() || now.Sub(r.checked) >= ownersTTL {
		place, size := p.owners.Position()
		r.place, r.size, r.checked = uint64(max(0, place)), uint64(max(1, size)), now //nolint:gosec // neither is below 0
	}
	return r
}

// observeRejectionLimit applies the number of rejections that a response announces. The caller holds mu.
func (p *Pool) observeRejectionLimit(m *member, rate limit.Rate, info ResponseInfo) {
	if !rate.IsSet() {
		return
	}
	now := p.now()
	r := p.rejectionLimitOf(m.Service, now)
	if r == nil {
		r = &rejectionLimit{}
		p.rejectionLimits[m.Service] = r
		p.onNotice(NoticeTaken{Endpoint: m.Endpoint, Notice: Notice{Rejections: rate}, Response: info, Age: now.Sub(m.recordAt)})
	}
	r.rate, r.announcedAt = rate, now
}

// withinSlots reports whether one more request of this instance leaves an endpoint with as many requests as it runs at
// once. If there are more instances than slots, only some instances may send one each; the endpoint and the place of the
// instance determine which.
func (r *rejectionLimit) withinSlots(m *member) bool {
	if r == nil || m.Slots <= 0 {
		return true
	}
	planned := max(1, uint64(plannedSlots*float64(m.Slots)))
	share := planned / r.size
	switch {
	case uint64(m.open) < share: //nolint:gosec // it is not below 0
		return true
	case share > 0 || m.open > 0:
		return false
	}
	return (r.place+m.hash)%r.size < planned
}

// pause returns for how long this instance sends an endpoint nothing after a rejection.
func (r *rejectionLimit) pause() time.Duration {
	d := time.Duration(float64(r.size) / r.rate.Bound() * float64(time.Second))
	return min(max(d, minRejectionPause), maxRejectionPause)
}
