package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/packed"
)

// peerList is the encoded list of all instances' records, which leaders send to the instances that do not read it from
// the store.
type peerList struct {
	version    uint64    // hash of raw; 0: none
	raw        []byte    // nil: not encoded since the records changed
	builtAt    time.Time // when raw was last encoded
	receivedAt time.Time // when a parent last sent the list, or confirmed that it is current
}

// listInterval is the minimum time between two encodings of the list: after a fault many records change.
const listInterval = time.Second

// ListVersion returns the version of the list of instances that this one has; 0: none.
func (d *Directory) ListVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.version
}

// List returns the list of instances for one that has a version of it. raw is nil if that is the current one. Version 0
// means that this instance does not know all records itself.
func (d *Directory) List(known uint64) (version uint64, raw []byte, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.whole {
		return 0, nil, nil
	}
	if d.list.raw == nil && (d.list.version == 0 || d.now().Sub(d.list.builtAt) >= listInterval) {
		if err := d.encodeList(); err != nil {
			return 0, nil, err
		}
	}
	if known == d.list.version || d.list.raw == nil {
		return known, nil, nil
	}
	return d.list.version, d.list.raw, nil
}

// encodeList encodes the known records. The caller holds mu.
func (d *Directory) encodeList() error {
	records := make([]Record, 0, len(d.records))
	for _, id := range slices.Sorted(maps.Keys(d.records)) {
		records = append(records, d.records[id])
	}
	raw, err := packed.Encode(records)
	if err != nil {
		return err
	}
	d.list.version, d.list.raw, d.list.builtAt = xxhash.Sum64(raw), raw, d.now()
	return nil
}

// ApplyList takes the list of instances from a parent. raw is nil if the known version is current. A list that cannot be
// decoded changes nothing.
func (d *Directory) ApplyList(version uint64, raw []byte) {
	if version == 0 {
		return
	}
	if raw != nil {
		list, err := packed.Decode[[]Record](raw)
		if err != nil {
			d.log.Warn().Str("event", "peers_rejected").Err(err).Msg("list of instances cannot be decoded")
			return
		}
		d.setRecords(d.completed(list), true)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.receivedAt = d.now()
	if raw != nil {
		d.list.version, d.list.raw = version, raw
	}
}

// completed returns the records of a list by instance, with this instance's own one.
func (d *Directory) completed(list []Record) map[string]Record {
	records := make(map[string]Record, len(list)+1)
	for _, r := range list {
		if r.Peer.ID != "" {
			records[r.Peer.ID] = r
		}
	}
	records[d.self.Peer.ID] = d.self
	if d.keepsMissing() {
		d.addMissing(records)
	}
	return records
}
