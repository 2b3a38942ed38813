// Package peerstest makes directories of instances that know each other, for tests of what goes between instances.
package peerstest

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// Instance is one instance of a fleet under test.
type Instance struct {
	Self   mesh.Peer
	Router *mesh.Router // of its messages
	Dir    *peers.Directory
}

// runFor is long enough for a directory to write its record, to read those that are there, and to open its links in memory.
const runFor = 10 * time.Millisecond

// Fleet makes the instances of a fleet whose links are a net's, ranked in the order of the list, and lets them find each other. now is
// the clock of all; large is the number of instances from which the fleet is large.
func Fleet(ctx context.Context, net *meshtest.Net, now func() time.Time, large int, list []mesh.Peer) ([]Instance, error) {
	store := memkv.New()
	out := make([]Instance, 0, len(list))
	for i, self := range list {
		r := mesh.NewRouter()
		d := peers.New(store, "p/", peers.Record{Peer: self, Capacity: float64(len(list) - i)}, r,
			peers.WithLarge(large), peers.WithNow(now), peers.WithCaller(net.Join(self, r)))
		out = append(out, Instance{Self: self, Router: r, Dir: d})
	}
	for range 2 { // the second time all read what the others have written
		for _, x := range out {
			run, cancel := context.WithTimeout(ctx, runFor)
			err := x.Dir.Run(run)
			cancel()
			if err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}
