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

// authority is the fleet's certificate authority as it is stored. The store is the one place that only the fleet and
// the platform can read.
type authority struct {
	Cert []byte `cbor:"1,keyasint"` // PEM
	Key  []byte `cbor:"2,keyasint"` // PEM
}

// identity issues this instance's certificate from the fleet's authority. The first instance that needs the authority
// creates it.
func (d *Directory) identity(ctx context.Context) (*tls.Config, error) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyMembers), 2*d.times.Call)
	defer cancel()
	read := ctx
	if d.restoredAt.Load() == nil {
		read = external.WithStale(ctx) // only a restoration changes the authority, so a read from a copy suffices
	}
	e, _, err := d.store.Read(read, d.prefix+authorityKey)
	if err != nil {
		return nil, eris.Wrap(err, "reading the fleet's authority")
	}
	raw := e.Data
	if e.Revision == 0 {
		if raw, err = d.createAuthority(ctx); err != nil {
			return nil, err
		}
	}
	if d.authority == nil {
		d.linkedAt = d.now()
	}
	d.authority = raw
	return d.tlsConfig(raw)
}

// createAuthority creates the fleet's authority, unless another instance has done so.
func (d *Directory) createAuthority(ctx context.Context) ([]byte, error) {
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

// putAuthority writes an authority unless the store holds one. It returns the one that the store holds afterwards.
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

func (d *Directory) tlsConfig(raw []byte) (*tls.Config, error) {
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
