package feed

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgemount/ledgemount/internal/packed"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// FuzzNews checks that no update reply makes the process panic or decompress without bound.
func FuzzNews(f *testing.F) {
	all, err := packed.Encode([]pool.Endpoint{endpoint("e-1")})
	if err != nil {
		f.Fatal(err)
	}
	conf, err := packed.Encode(config(3))
	if err != nil {
		f.Fatal(err)
	}
	raw, err := cbor.Marshal(updateReply{Known: true, At: 9, Complete: true, All: all, Config: conf})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(all)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var reply updateReply
		if cbor.Unmarshal(raw, &reply) != nil {
			reply.All, reply.Config = raw, raw
		}
		list, err := packed.Decode[[]pool.Endpoint](reply.All)
		if err == nil {
			pool.New("a").Replace(list)
		}
		if c, err := packed.Decode[*route.Config](reply.Config); err == nil && c != nil {
			_, _ = route.Compile(*c)
		}
	})
}
