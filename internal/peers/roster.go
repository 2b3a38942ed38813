package peers

import (
	"bytes"
	"compress/gzip"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// roster is the encoded list of all instances' records, which leaders send to the instances that do not read it from
// the store.
type roster struct {
	version uint64    // hash of the records; 0: none
	raw     []byte    // nil: not encoded since the records changed
	builtAt time.Time // when raw was last encoded
	heardAt time.Time // when a parent last sent the roster, or confirmed that it is current
}

const (
	rosterInterval     = time.Second // minimum time between two encodings: after a fault many records change
	maxRosterBytes     = 8 << 20     // limit of a decompressed roster
	compressedPerEntry = 64          // bytes, roughly
)

// RosterVersion returns the version of the roster that this instance has; 0: none.
func (d *Directory) RosterVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.version
}

// Roster returns the roster for an instance that has a version of it. raw is nil if that is the current one. Version 0
// means that this instance does not know all records itself.
func (d *Directory) Roster(known uint64) (version uint64, raw []byte, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.whole {
		return 0, nil, nil
	}
	if d.roster.raw == nil && (d.roster.version == 0 || d.now().Sub(d.roster.builtAt) >= rosterInterval) {
		if err := d.buildRoster(); err != nil {
			return 0, nil, err
		}
	}
	if known == d.roster.version || d.roster.raw == nil {
		return known, nil, nil
	}
	return d.roster.version, d.roster.raw, nil
}

// buildRoster encodes the known records. The caller holds mu.
func (d *Directory) buildRoster() error {
	list := make([]Record, 0, len(d.records))
	for _, id := range slices.Sorted(maps.Keys(d.records)) {
		list = append(list, d.records[id])
	}
	encoded, err := cbor.Marshal(list)
	if err != nil {
		return eris.Wrap(err, "encoding the roster")
	}
	b := bytes.NewBuffer(make([]byte, 0, compressedPerEntry*len(list)))
	z := gzip.NewWriter(b)
	if _, err := z.Write(encoded); err != nil {
		return eris.Wrap(err, "compressing the roster")
	}
	if err := z.Close(); err != nil {
		return eris.Wrap(err, "compressing the roster")
	}
	d.roster.version, d.roster.raw, d.roster.builtAt = xxhash.Sum64(encoded), b.Bytes(), d.now()
	return nil
}

// ApplyRoster takes the roster of a parent. raw is nil if the known version is current.
func (d *Directory) ApplyRoster(version uint64, raw []byte) error {
	if version == 0 {
		return nil
	}
	if raw != nil {
		records, err := decodeRoster(raw)
		if err != nil {
			return err
		}
		records[d.self.Peer.ID] = d.self
		if d.keepsMissing() {
			d.addMissing(records)
		}
		d.setRecords(records, true)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.heardAt = d.now()
	if raw != nil {
		d.roster.version, d.roster.raw = version, raw
	}
	return nil
}

func decodeRoster(raw []byte) (map[string]Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing the roster")
	}
	encoded, err := io.ReadAll(io.LimitReader(z, maxRosterBytes))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing the roster")
	}
	var list []Record
	if err := cbor.Unmarshal(encoded, &list); err != nil {
		return nil, eris.Wrap(err, "decoding the roster")
	}
	records := make(map[string]Record, len(list)+1)
	for _, r := range list {
		if r.Peer.ID != "" {
			records[r.Peer.ID] = r
		}
	}
	return records, nil
}
