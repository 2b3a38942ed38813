package router

import (
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/quarantine"
)

// observe hands a value that the fleet keeps in the store to the part that it concerns.
func (r *Router) observe(e external.Entry) {
	r.escrow.Observe(e)
	r.share.Observe(e)
}

// tries says whether this instance is the one that tries a request again once the time is over for which it is kept back.
func (r *Router) tries(p quarantine.Digest) bool { return r.peers.Owns(p.String(), 1) }

// quarantined logs that a request is kept from endpoints from now on, or not any more, and lets what was decided here outlive the fleet.
func (r *Router) quarantined(c quarantine.Change) {
	event, msg := "request_released", "a request is not kept from endpoints any more: a run of it ended well"
	if c.Held {
		event, msg = "request_quarantined", "several endpoints ended while they ran a request: it is kept from the others"
		r.metrics.metrics.Scope().Counter("quarantine_requests_total").Inc(1)
	}
	ends := zerolog.Arr()
	for _, e := range c.Ends {
		ends = ends.Dict(zerolog.Dict().Str("endpoint", e.Run).Int64("ran_ms", e.Ended.Sub(e.Began).Milliseconds()).Bool("events", e.Events))
	}
	r.log.Warn().Str("event", event).Str("digest", c.Digest.String()).Str("customer", c.Customer).Bool("told", !c.Own).
		Array("ends", ends).Msg(msg)
	if c.Own {
		r.share.Save()
	}
}
