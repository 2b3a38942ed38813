package peers

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// scope is which records an instance reads from the store.
type scope int

const (
	scopeNone  scope = iota // its parents send them
	scopeZone               // those of its own zone
	scopeFleet              // all
)

// listLifetime is how long after the last contact with a parent that has the list of instances this one reads no records.
const listLifetime = 15 * time.Second

// scope returns which records to read now. An instance that has just started reads those of its zone until the others
// have had time to start too. They tell how large the fleet may be: in a zone with relays only the leaders read those of
// all zones.
func (d *Directory) scope() scope {
	d.mu.Lock()
	defer d.mu.Unlock()
	relays := relayCount(len(d.zones[d.self.Peer.Zone]))
	switch {
	case !d.zoneKnown:
		return scopeZone
	case relays == 0, d.rank < maxLeaders:
		return scopeFleet
	case !d.list.receivedAt.IsZero() && d.now().Sub(d.list.receivedAt) < listLifetime:
		return scopeNone
	}
	return scopeZone
}

// updateRecords reads the records that are due. If that fails, the last known records remain.
func (d *Directory) updateRecords(ctx context.Context) {
	first := d.scope()
	err := d.read(ctx, first)
	if err == nil && first == scopeZone && d.scope() == scopeFleet {
		err = d.read(ctx, scopeFleet)
	}
	if err != nil {
		d.log.Debug().Str("event", "peers_unread").Err(err).Msg("instances' records not read")
	}
}

func (d *Directory) read(ctx context.Context, which scope) error {
	switch which {
	case scopeZone:
		return d.readZone(ctx)
	case scopeFleet:
		return d.readRecords(ctx)
	case scopeNone:
	}
	return nil
}

// readRecords reads all records.
func (d *Directory) readRecords(ctx context.Context) error {
	records, err := d.readPrefix(ctx, d.prefix+recordsPrefix)
	if err != nil {
		return err
	}
	d.setRecords(records, true)
	return nil
}

// readZone reads the records of the own zone. Those of the others remain.
func (d *Directory) readZone(ctx context.Context) error {
	calledAt := d.now()
	records, err := d.readPrefix(ctx, d.zonePrefix())
	if err != nil {
		return err
	}
	d.mu.Lock()
	for id, r := range d.records {
		if r.Peer.Zone != d.self.Peer.Zone {
			records[id] = r
		}
	}
	whole := d.whole
	// After a restart the others are running already.
	d.zoneKnown = d.zoneKnown || d.restarted || calledAt.Sub(d.startedAt) >= d.times.Settle
	d.mu.Unlock()
	d.setRecords(records, whole)
	return nil
}

// readPrefix reads the records under a prefix, and adds this instance's own one.
func (d *Directory) readPrefix(ctx context.Context, prefix string) (map[string]Record, error) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyMembers), d.times.Call)
	defer cancel()
	entries, _, err := d.store.ReadAll(ctx, prefix)
	if err != nil {
		return nil, eris.Wrap(err, "reading the instances' records")
	}
	records, revisions := make(map[string]Record, len(entries)+1), make(map[string]int64, len(entries))
	for _, e := range entries {
		var r Record
		if err := cbor.Unmarshal(e.Data, &r); err != nil || r.Peer.ID == "" {
			d.log.Warn().Str("event", "record_rejected").Str("key", e.Key).Err(err).Msg("instance's record cannot be decoded")
			continue
		}
		if e.Revision >= revisions[r.Peer.ID] { // builds with another key may have written the same instance's record
			records[r.Peer.ID], revisions[r.Peer.ID] = r, e.Revision
		}
	}
	if before, ok := records[d.self.Peer.ID]; ok && before.Peer.Incarnation != d.self.Peer.Incarnation {
		d.mu.Lock()
		d.restarted = true
		d.mu.Unlock()
	}
	records[d.self.Peer.ID] = d.self
	if d.keepsMissing() {
		d.addMissing(records)
	}
	return records, nil
}

// addMissing adds the known records that the given ones lack.
func (d *Directory) addMissing(records map[string]Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records {
		if _, listed := records[id]; !listed {
			records[id] = r
		}
	}
}
