package quarantine

import "github.com/rs/zerolog"

// The events of the lines about requests that are kept back.
const (
	EventQuarantined = "request_quarantined"
	EventReleased    = "request_released"
	EventCrash       = "endpoint_ended"
)

// LogChanges makes what logs changes. They are rare: a request is kept back after several endpoints have ended with it.
func LogChanges(log zerolog.Logger) func(Change) {
	return func(c Change) {
		event, msg := EventReleased, "a request is not kept from endpoints any more: a run of it ended well"
		if c.Quarantined {
			event, msg = EventQuarantined, "several endpoints ended while they ran a request: it is kept from the others"
		}
		ends := zerolog.Arr()
		for _, e := range c.Crashes {
			ends = ends.Dict(zerolog.Dict().Str("endpoint", e.Run).Int64("ran_ms", e.Ended.Sub(e.Began).Milliseconds()).Bool("events", e.Streamed))
		}
		log.Warn().Str("event", event).Str("digest", c.Digest.String()).Str("customer", c.Customer).Bool("told", !c.Local).
			Array("ends", ends).Msg(msg)
	}
}

// LogCrash logs that an endpoint ended under a request.
func LogCrash(log zerolog.Logger, endpoint, digest string) {
	log.Warn().Str("event", EventCrash).Str("endpoint", endpoint).Str("digest", digest).
		Msg("an endpoint's process has ended while it ran a request")
}
