package reach

import (
	"cmp"
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// forwarder is another instance through which endpoints of a service were reached.
type forwarder struct {
	peer       mesh.Peer // never changes
	open       int       // connections through it
	failures   int       // consecutive ones without a response
	avoidUntil time.Time // it could not establish one
}

// forwarders are the instances through which the endpoints of one service are reached.
type forwarders struct{ byID map[string]*forwarder }

// maxForwarders bounds how many instances are kept. Connections are spread over them.
const maxForwarders = 4

// Pauses in the use of a forwarder.
const (
	busyPause   = 300 * time.Millisecond // it carries as many connections as it accepts
	failedPause = 3 * time.Second        // it has no path either, or does not forward
	silentPause = 600 * time.Millisecond // it did not respond in time, several times in a row
)

// maxSilences is the number of consecutive connections without a response after which an instance is paused. One may be
// due to the endpoint.
const maxSilences = 2

// add records that an instance has established a connection.
func (f *forwarders) add(p mesh.Peer, now time.Time) {
	if f.byID == nil {
		f.byID = make(map[string]*forwarder)
	}
	if known := f.byID[p.ID]; known != nil && known.peer == p {
		known.failures, known.avoidUntil = 0, time.Time{}
		return
	}
	delete(f.byID, p.ID) // another process of the instance, possibly at another address
	if len(f.byID) >= maxForwarders {
		f.dropAvoided(now)
	}
	if len(f.byID) < maxForwarders {
		f.byID[p.ID] = &forwarder{peer: p}
	}
}

// dropAvoided drops the instances that are not usable now.
func (f *forwarders) dropAvoided(now time.Time) {
	for id, x := range f.byID {
		if now.Before(x.avoidUntil) {
			delete(f.byID, id)
		}
	}
}

// pick returns the usable instance with the fewest failures and connections that has not been tried; nil if there is none.
func (f *forwarders) pick(now time.Time, tried map[string]bool) *forwarder {
	var best *forwarder
	for _, x := range f.byID {
		if now.Before(x.avoidUntil) || tried[x.peer.ID] {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(x.failures, best.failures), cmp.Compare(x.open, best.open)) < 0 {
			best = x
		}
	}
	return best
}

// usable returns how many instances may be used now.
func (f *forwarders) usable(now time.Time) int {
	n := 0
	for _, x := range f.byID {
		if !now.Before(x.avoidUntil) {
			n++
		}
	}
	return n
}

// avoid pauses the use of an instance. One that does not forward and carries no connections is dropped, so that others can
// take its place.
func (f *forwarders) avoid(x *forwarder, now time.Time, pause time.Duration) {
	if pause == silentPause {
		if x.failures++; x.failures < maxSilences {
			return
		}
		x.failures = 0
	}
	x.avoidUntil = now.Add(pause)
	if pause >= failedPause && x.open == 0 {
		delete(f.byID, x.peer.ID)
	}
}
