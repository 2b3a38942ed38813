package peers

import (
	"context"
	"crypto/tls"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// authority is the fleet's authority as it lies in the store, the one place that only the fleet and the platform reach.
type authority struct {
	Cert []byte `cbor:"1,keyasint"` // PEM
	Key  []byte `cbor:"2,keyasint"` // PEM
}

// identity makes this instance's certificate with the fleet's authority, which the first instance that needs it makes.
func (d *Directory) identity(ctx context.Context) (*tls.Config, error) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyMembers), 2*d.times.Call)
	defer cancel()
	read := ctx
	if d.restored.Load() == nil {
		read = external.WithStale(ctx) // it changes with a restoration only, so a copy is good enough where the store has one
	}
	e, _, err := d.store.Read(read, d.prefix+authorityKey)
	if err != nil {
		return nil, eris.Wrap(err, "reading the fleet's authority")
	}
	raw := e.Data
	if e.Revision == 0 {
		if raw, err = d.found(ctx); err != nil {
			return nil, err
		}
	}
	if d.authority == nil {
		d.linkedAt = d.now()
	}
	d.authority = raw
	return d.issue(raw)
}

// found makes the fleet's authority, unless another instance has.
func (d *Directory) found(ctx context.Context) ([]byte, error) {
	a, err := mesh.NewAuthority()
	if err != nil {
		return nil, err
	}
	key, err := a.KeyPEM()
	if err != nil {
		return nil, err
	}
	raw, err := cbor.Marshal(authority{Cert: a.PEM(), Key: key})
	if err != nil {
		return nil, eris.Wrap(err, "encoding the fleet's authority")
	}
	return d.putAuthority(ctx, raw)
}

// putAuthority writes an authority, unless the store has one; it returns the one that the store has then.
func (d *Directory) putAuthority(ctx context.Context, raw []byte) ([]byte, error) {
	name := d.prefix + authorityKey
	_, err := d.store.Commit(ctx, external.Commit{
		When: []external.Condition{{Key: name}}, Put: []external.Entry{{Key: name, Data: raw}},
	})
	var conflict *external.ConflictError
	if errors.As(err, &conflict) && len(conflict.Current) > 0 {
		return conflict.Current[0].Data, nil
	}
	return raw, eris.Wrap(err, "writing the fleet's authority")
}

func (d *Directory) issue(raw []byte) (*tls.Config, error) {
	var stored authority
	if err := cbor.Unmarshal(raw, &stored); err != nil {
		return nil, eris.Wrap(err, "decoding the fleet's authority")
	}
	a, err := mesh.LoadAuthority(stored.Cert, stored.Key)
	if err != nil {
		return nil, err
	}
	cert, key, err := a.Issue(d.self.Peer.ID)
	if err != nil {
		return nil, err
	}
	return mesh.TLS(a.PEM(), cert, key)
}
