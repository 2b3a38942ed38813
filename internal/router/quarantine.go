package router

import (
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/quarantine"
)

// observe hands a value that the fleet keeps in the store to the part that it concerns.
func (r *Router) observe(e external.Entry) {
	r.escrow.Observe(e)
	r.share.Observe(e)
}

// tries reports whether this instance is the one that tries a request again once the time is over for which it is kept back.
func (r *Router) tries(p quarantine.Digest) bool { return r.peers.Owns(p.String(), 1) }

// quarantined logs that a request is kept from endpoints from now on, or not any more, and lets what was decided here outlive the fleet.
func (r *Router) quarantined(c quarantine.Change) {
	if c.Quarantined {
		r.metrics.metrics.Scope().Counter("quarantine_requests_total").Inc(1)
	}
	quarantine.LogChanges(r.log)(c)
	if c.Local {
		r.share.ScheduleSave()
	}
}
