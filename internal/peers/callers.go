package peers

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// An instance that has just started calls the others as soon as it has written its record. Those of a small fleet read
// the records again then, instead of up to Times.Read later. Until then its calls identify it. New instances of a large
// fleet receive everything from their leaders.

const (
	// callerLifetime is how long an instance without a record stays known after it has called.
	callerLifetime = 5 * time.Second
	maxCallers     = 16 // such instances
	// unknownReadInterval is the minimum interval between reads of the records because such an instance has called.
	unknownReadInterval = 2 * time.Second
)

// recentCaller is an instance that has called this one.
type recentCaller struct {
	peer mesh.Peer
	at   time.Time
}

// recordCaller records a call of an instance whose record is not known, and has the records read.
func (d *Directory) recordCaller(from mesh.Peer) {
	if from.ID == d.self.Peer.ID || from.Addr == "" {
		return
	}
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, listed := d.records[from.ID]; listed && r.Peer == from {
		delete(d.callers, from.ID)
		return
	}
	if _, known := d.callers[from.ID]; !known && len(d.callers) >= maxCallers {
		d.dropOldestCaller()
	}
	d.callers[from.ID] = recentCaller{peer: from, at: now}
	if !d.isLarge() && now.Sub(d.unknownReadAt) >= unknownReadInterval {
		d.unknownReadAt = now
		d.requestRead()
	}
}

// requestRead has Run read the records now.
func (d *Directory) requestRead() {
	select {
	case d.readRequests <- struct{}{}:
	default:
	}
}

// dropOldestCaller drops the instance that has not called for the longest time. The caller holds mu.
func (d *Directory) dropOldestCaller() {
	oldest := ""
	for id, c := range d.callers {
		if oldest == "" || c.at.Before(d.callers[oldest].at) {
			oldest = id
		}
	}
	delete(d.callers, oldest)
}

// recentCallers returns the instances without records that have called lately: those of the own zone, and those of other
// zones that are allowed. The caller holds mu.
func (d *Directory) recentCallers(allowed func(zone string) bool) (near, far []mesh.Peer) {
	now := d.now()
	for id, c := range d.callers {
		r, listed := d.records[id]
		switch {
		case now.Sub(c.at) >= callerLifetime, listed && r.Peer == c.peer:
			delete(d.callers, id)
		case c.peer.Zone == d.self.Peer.Zone:
			near = append(near, c.peer)
		case allowed(c.peer.Zone):
			far = append(far, c.peer)
		}
	}
	return near, far
}
