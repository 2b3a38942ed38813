package relay

import "strconv"

// delivery is what the caller has received of a response so far. It determines what may follow. A caller cannot detect
// that a response was continued by anything but itself, since this instance frames the response.
type delivery struct {
	extent      extent
	lastEventID string // of the last event that was forwarded; empty: none yet
}

// extent is how far a response has been sent.
type extent int

const (
	nothingSent extent = iota // any response may follow
	eventsSent                // the header of a stream and complete events, the last one with an ID: only those after it may follow
	partSent                  // only the rest of the same response may follow
)

// started reports whether the caller has received the response header.
func (d *delivery) started() bool { return d.extent != nothingSent }

// resumable reports whether the response of another run may follow.
func (d *delivery) resumable() bool { return d.extent != partSent }

// follows reports whether an event may follow those that were forwarded. The IDs of a stream rise; an endpoint that does
// not resume a stream sends its first event again.
func (d *delivery) follows(id string) bool {
	last, errLast := strconv.ParseInt(d.lastEventID, 10, 64)
	next, errNext := strconv.ParseInt(id, 10, 64)
	return errLast != nil || errNext != nil || next > last
}

// addEvent records that an event was forwarded. Endpoints cannot resume after an event without an ID: they would repeat it.
func (d *delivery) addEvent(id string) {
	if id == "" {
		d.extent = partSent
		return
	}
	d.extent, d.lastEventID = eventsSent, id
}
