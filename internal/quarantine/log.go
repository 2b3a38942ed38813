package quarantine

import "github.com/rs/zerolog"

// Events of the log lines about quarantined requests. The lines call a crash an end: its event is "endpoint_ended", and
// the field "ends" lists the crashes of a request. The field "told" states that another instance reported the change.
const (
	EventQuarantined = "request_quarantined"
	EventReleased    = "request_released"
	EventCrash       = "endpoint_ended"

	EventPartQuarantined = "part_quarantined"
	EventPartReleased    = "part_released"
)

// LogChanges returns a function that logs changes. They are rare: a request is quarantined only after several
// endpoints have crashed while they ran it.
func LogChanges(log zerolog.Logger) func(Change) {
	return func(c Change) {
		event, msg := EventReleased, "a request is not kept from endpoints any more: a run of it ended well"
		if c.Quarantined {
			event, msg = EventQuarantined, "several endpoints ended while they ran a request: it is kept from the others"
		}
		if c.Part != "" {
			event, msg = EventPartReleased, "requests with a part in their prompts are not kept from endpoints any more: a run of one went on well"
			if c.Quarantined {
				event, msg = EventPartQuarantined, "several endpoints ended while they ran requests with a part in their prompts: these are kept from the others"
			}
		}
		crashes := zerolog.Arr()
		for _, crash := range c.Crashes {
			crashes = crashes.Dict(zerolog.Dict().Str("endpoint", crash.Run).Int64("ran_ms", crash.Ended.Sub(crash.Began).Milliseconds()).Bool("events", crash.Streamed))
		}
		log.Warn().Str("event", event).Str("digest", c.Digest.String()).Str("customer", c.Customer).Str("part", c.Part).Bool("told", !c.Local).
			Array("ends", crashes).Msg(msg)
	}
}

// LogCrash logs that an endpoint crashed while it ran a request.
func LogCrash(log zerolog.Logger, endpoint, digest string) {
	log.Warn().Str("event", EventCrash).Str("endpoint", endpoint).Str("digest", digest).
		Msg("endpoint process exited while it ran a request")
}
