package follow

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// A snapshot of a large fleet takes many calls to the store. Each part has its own timeout, and a failed call loses
// nothing of the parts before it: the next one continues after them. Otherwise an instance whose link is slow or shared
// would start from the beginning again and again.

const (
	// snapshotTimeoutFactor multiplies the timeout of a call for a part of a snapshot, which is larger than changes.
	snapshotTimeoutFactor = 2
	// maxPartialAge is how long after its first part a snapshot is continued. The changes since then are read after the
	// last part, and the store drops old history.
	maxPartialAge = 10 * time.Second
)

// partialSnapshot is a snapshot of which only the first parts have been read. Its zero value has none.
type partialSnapshot struct {
	update    Update // all parts read so far
	startedAt time.Time
}

// begun reports whether there is a part from which the snapshot continues.
func (p *partialSnapshot) begun() bool { return p.update.Partial }

// add adds the next part, which was requested at calledAt.
func (p *partialSnapshot) add(u Update, calledAt time.Time) {
	if !p.begun() {
		p.update, p.startedAt = u, calledAt
		return
	}
	all := &p.update
	all.Endpoints, all.Removed, all.Bad = append(all.Endpoints, u.Endpoints...), append(all.Removed, u.Removed...), append(all.Bad, u.Bad...)
	all.Events += u.Events
	all.Partial, all.Next = u.Partial, u.Next
}

// snapshot reads everything.
func (f *Follower) snapshot(ctx context.Context) error {
	for {
		if err := f.snapshotPart(ctx); err != nil || !f.partial.begun() {
			return err
		}
	}
}

// snapshotPart reads one part of a snapshot, and applies the snapshot if it was the last one.
func (f *Follower) snapshotPart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyConfig), snapshotTimeoutFactor*f.times.Call+f.times.PeerCall)
	defer cancel()
	calledAt := f.now()
	if f.partial.begun() && calledAt.Sub(f.partial.startedAt) > maxPartialAge {
		f.partial = partialSnapshot{}
	}
	u, err := f.source.Snapshot(ctx, f.since, f.partial.update.Next)
	switch {
	case errors.Is(err, external.ErrHistoryGone):
		f.partial = partialSnapshot{}
		return eris.Wrap(err, "continuing a snapshot")
	case err != nil:
		return eris.Wrap(err, "reading the configuration and the endpoints")
	case u.FromPeer:
		f.partial = partialSnapshot{} // another instance has sent all of it
	}
	if f.agreesWithHistory(u) {
		f.lastChange, f.historySuspect, f.lastFromPeer = f.now(), false, false
		f.noteContact(calledAt, u)
		return nil
	}
	f.partial.add(u, calledAt)
	if f.partial.begun() {
		f.applyEarly(u)
		return nil
	}
	f.applySnapshot(f.partial.update, f.partial.startedAt)
	f.partial = partialSnapshot{}
	return nil
}

// agreesWithHistory reports whether the rest of a long snapshot is not needed. The snapshot is read because the store has
// reported no change for some time. If it had withheld changes, some of the many endpoints in the first part would have
// records that are newer than the last reported change.
func (f *Follower) agreesWithHistory(u Update) bool {
	return f.historySuspect && !f.restoration.rereadDue(f.now()) && !f.partial.begun() && !u.FromPeer && u.Partial && external.EpochOf(u.At) == external.EpochOf(f.since.At) &&
		u.Newest <= f.lastChangeAt
}

// applySnapshot applies a complete snapshot that was begun at startedAt.
func (f *Follower) applySnapshot(u Update, startedAt time.Time) {
	f.lastChange, f.historySuspect, f.lastFromPeer = f.now(), false, u.FromPeer
	f.apply(u, true)
	f.lastChangeAt = u.At
	f.noteContact(startedAt, u)
}

// applyEarly puts a part of the first snapshot in force before the rest is known, so that this instance can serve. A
// later snapshot is applied as a whole: after a restoration of the store, its records are unreliable.
func (f *Follower) applyEarly(u Update) {
	if f.since.At > 0 {
		return
	}
	if u.Config != nil {
		f.applyConfig(*u.Config)
	}
	f.applyEvacuations(u)
	for _, e := range u.Endpoints {
		f.pool.Put(e)
	}
}
