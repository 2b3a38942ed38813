package peers

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// A store that was restored from an older copy lacks the records of instances that have just started, and may lack the fleet's authority. Records are
// written once, so each instance whose record may be lost writes it anew, and the others stay known meanwhile.

const (
	// recordsWait is how long instances whose records are missing after a restoration stay known.
	recordsWait = 6 * time.Second
	// writeSpread is the time over which the instances of a large fleet write anew, and smallSpread those of a small one, so that they do not all call
	// the store at once.
	writeSpread = 2 * time.Second
	smallSpread = time.Second
)

// WithEpochs sets what knows the store's epoch.
func WithEpochs(e *external.Epochs) Option { return func(d *Directory) { d.epochs = e } }

// restoredStore notes that the store was restored. It is called while the Epochs is locked.
func (d *Directory) restoredStore(external.Restoration) {
	now := d.now()
	d.restored.Store(&now)
	select {
	case d.wakes <- struct{}{}:
	default:
	}
}

// keepMissing reports whether instances whose records are missing stay known.
func (d *Directory) keepMissing() bool {
	at := d.restored.Load()
	return at != nil && d.now().Sub(*at) < recordsWait
}

// write brings this instance's record to the store: at the start, and when a restoration may have lost its last write.
func (d *Directory) write(ctx context.Context) error {
	epoch, now := d.epochs.Current(), d.now()
	if !d.wrote.IsZero() && (epoch == d.wroteIn || now.Sub(d.wrote) > external.MaxCopyAge) {
		return nil
	}
	var err error
	if d.leaves() {
		err = d.Leave(ctx)
	} else {
		err = d.tell(ctx)
	}
	if err == nil {
		d.wrote, d.wroteIn = now, epoch
	}
	return err
}

// spread waits for a part of the time over which the fleet writes anew.
func (d *Directory) spread(ctx context.Context) {
	most := smallSpread
	if d.Large() {
		most = writeSpread
	}
	t := time.NewTimer(rand.N(most))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// keepAuthority puts the fleet's authority back where a restoration has lost it. Where others have made another one meanwhile, that one holds, and the
// links are opened anew. An authority that is older than any copy cannot be lost.
func (d *Directory) keepAuthority(ctx context.Context) error {
	at := d.restored.Load()
	if d.authority == nil || at == nil || at.Sub(d.linkedAt) > external.MaxCopyAge || !at.After(d.checked) {
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
	d.checked = d.now()
	if !bytes.Equal(raw, d.authority) {
		d.log.Warn().Str("event", "authority_changed").Msg("the fleet's authority was made anew after the store was restored: links are opened again")
		return d.relink()
	}
	return nil
}

// relink closes the links, so that they are opened with the authority that the store has.
func (d *Directory) relink() error {
	err := d.disconnect()
	d.caller.Store(nil)
	return err
}
