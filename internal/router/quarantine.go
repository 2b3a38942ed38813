package router

import (
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/quarantine"
)

// observeEntry passes a store entry that the fleet has written to those that may have written it, each of which
// ignores the entries of the others.
func (r *Router) observeEntry(e external.Entry) {
	r.escrow.Observe(e)
	r.replicator.Observe(e)
	r.streams.Observe(e)
}

// ownsProbe reports whether this instance is the one that may run a request again as a probe when its quarantine has
// expired.
func (r *Router) ownsProbe(p quarantine.Digest) bool { return r.peers.Owns(p.String(), 1) }

// onQuarantineChange logs that a request, or a part of prompts, enters or leaves quarantine. A decision of this
// instance is saved to the store, so that it survives a restart of all instances.
func (r *Router) onQuarantineChange(c quarantine.Change) {
	if c.Quarantined {
		counter := "quarantine_requests_total"
		if c.Part != "" {
			counter = "quarantine_parts_total"
		}
		r.metrics.metrics.Scope().Counter(counter).Inc(1)
	}
	quarantine.LogChanges(r.log)(c)
	if c.Local {
		r.replicator.ScheduleSave()
	}
}
