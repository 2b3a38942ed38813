package peers

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// A store that was restored from an older copy lacks the records of instances that have just started, and may lack the
// fleet's authority. Records are written once, so each instance whose record may be lost writes it again, and the others
// stay known meanwhile.

const (
	// missingGrace is how long after a restoration instances whose records are missing stay known.
	missingGrace = 6 * time.Second
	// The instances of a large fleet write their records again at random times within largeFleetJitter, and those of a
	// small fleet within smallFleetJitter, so that they do not all call the store at once.
	largeFleetJitter = 2 * time.Second
	smallFleetJitter = time.Second
)

// WithEpochs sets the tracker of the store's epoch.
func WithEpochs(e *external.Epochs) Option { return func(d *Directory) { d.epochs = e } }

// onRestored records that the store was restored. It is called while the Epochs is locked.
func (d *Directory) onRestored(external.Restoration) {
	now := d.now()
	d.restoredAt.Store(&now)
	select {
	case d.restorations <- struct{}{}:
	default:
	}
}

// keepsMissing reports whether instances whose records are missing stay known.
func (d *Directory) keepsMissing() bool {
	at := d.restoredAt.Load()
	return at != nil && d.now().Sub(*at) < missingGrace
}

// syncRecord writes this instance's record, or removes it if the instance is leaving. It does so at the start, and
// again if a restoration may have lost the last write.
func (d *Directory) syncRecord(ctx context.Context) error {
	epoch, now := d.epochs.Current(), d.now()
	if !d.writtenAt.IsZero() && (epoch == d.writtenEpoch || now.Sub(d.writtenAt) > external.MaxCopyAge) {
		return nil
	}
	var err error
	if d.isLeaving() {
		err = d.Leave(ctx)
	} else {
		err = d.writeRecord(ctx)
	}
	if err == nil {
		d.writtenAt, d.writtenEpoch = now, epoch
	}
	return err
}

// jitter is the time over which the fleet writes its records again.
func (d *Directory) jitter() time.Duration {
	if d.Large() {
		return largeFleetJitter
	}
	return smallFleetJitter
}

// waitJitter waits for a random part of the time over which the fleet writes its records again.
func (d *Directory) waitJitter(ctx context.Context) {
	t := time.NewTimer(rand.N(d.jitter()))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// restoreAuthority writes the fleet's authority again if a restoration has lost it. If other instances have created
// another one meanwhile, that one is valid and the links are reopened. An authority that is older than any copy cannot
// be lost.
func (d *Directory) restoreAuthority(ctx context.Context) error {
	at := d.restoredAt.Load()
	if d.authority == nil || at == nil || at.Sub(d.linkedAt) > external.MaxCopyAge || !at.After(d.authorityCheckedAt) {
		return nil
	}
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyMembers), 2*d.times.Call)
	defer cancel()
	e, _, err := d.store.Read(ctx, d.prefix+authorityKey)
	if err != nil {
		return eris.Wrap(err, "reading the fleet's authority")
	}
	raw := e.Data
	if e.Revision == 0 {
		if raw, err = d.putAuthority(ctx, d.authority); err != nil {
			return err
		}
	}
	d.authorityCheckedAt = d.now()
	if !bytes.Equal(raw, d.authority) {
		d.log.Warn().Str("event", "authority_changed").Msg("fleet's authority was created again after the store was restored; links are reopened")
		return d.resetLinks()
	}
	return nil
}

// resetLinks closes the links, so that they are reopened with the authority that the store holds.
func (d *Directory) resetLinks() error {
	err := d.disconnect()
	d.caller.Store(nil)
	return err
}
