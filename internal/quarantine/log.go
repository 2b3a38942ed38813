package quarantine

import "github.com/rs/zerolog"

// The events of the lines about requests that are kept back.
const (
	EventHeld     = "request_quarantined"
	EventReleased = "request_released"
	EventEnded    = "endpoint_ended"
)

// LogChanges makes what logs changes. They are rare: a request is kept back after several endpoints have ended with it.
func LogChanges(log zerolog.Logger) func(Change) {
	return func(c Change) {
		event, msg := EventReleased, "a request is not kept from endpoints any more: a run of it ended well"
		if c.Held {
			event, msg = EventHeld, "several endpoints ended while they ran a request: it is kept from the others"
		}
		ends := zerolog.Arr()
		for _, e := range c.Ends {
			ends = ends.Dict(zerolog.Dict().Str("endpoint", e.Run).Int64("ran_ms", e.Ended.Sub(e.Began).Milliseconds()).Bool("events", e.Events))
		}
		log.Warn().Str("event", event).Str("digest", c.Digest.String()).Str("customer", c.Customer).Bool("told", !c.Own).
			Array("ends", ends).Msg(msg)
	}
}

// LogEnd logs that an endpoint ended under a request.
func LogEnd(log zerolog.Logger, endpoint, digest string) {
	log.Warn().Str("event", EventEnded).Str("endpoint", endpoint).Str("digest", digest).
		Msg("an endpoint's process has ended while it ran a request")
}
