// Package peerstest makes directories of instances that have discovered each other, for tests of the communication
// between instances.
package peerstest

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// Instance is one instance of a fleet under test.
type Instance struct {
	Self   mesh.Peer
	Router *mesh.Router // handles its messages
	Dir    *peers.Directory
}

const (
	runTime   = 10 * time.Millisecond // duration of one run of an instance
	maxRounds = 200                   // rounds until all are discovered; on a busy machine a round may do nothing
)

// Fleet makes the instances of a fleet, ranked in the order of the list, and runs them until they have discovered each
// other. They use the links of net and share the clock now. large is the minimum number of instances of a large fleet.
func Fleet(ctx context.Context, net *meshtest.Net, now func() time.Time, large int, list []mesh.Peer) ([]Instance, error) {
	store, times := memkv.New(), peers.DefaultTimes()
	times.Settle = 0 // the clock may stand still
	out := make([]Instance, 0, len(list))
	for i, self := range list {
		r := mesh.NewRouter()
		d := peers.New(store, "p/", peers.Record{Peer: self, Capacity: float64(len(list) - i)}, r,
			peers.WithLargeFleet(large), peers.WithTimes(times), peers.WithNow(now), peers.WithCaller(net.Join(self, r)))
		out = append(out, Instance{Self: self, Router: r, Dir: d})
	}
	for range maxRounds {
		known := true
		for _, x := range out {
			if err := run(ctx, x.Dir); err != nil {
				return nil, err
			}
			if err := sendList(out[0].Dir, x.Dir); err != nil {
				return nil, err
			}
			known = known && x.Dir.Size() == len(list)
		}
		if known {
			return out, nil
		}
	}
	return nil, eris.New("the instances did not discover each other")
}

// sendList gives an instance the leader's list of instances, as it receives it from its parents.
func sendList(leader, d *peers.Directory) error {
	version, raw, err := leader.List(d.ListVersion())
	if err != nil || !d.HasRelays() {
		return err
	}
	d.ApplyList(version, raw)
	return nil
}

// run runs a directory for a short time, in which it writes its record, reads the existing ones and opens its links.
func run(ctx context.Context, d *peers.Directory) error {
	ctx, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	return d.Run(ctx)
}
