package rollout

import (
	"context"
	"sync"
	"testing"

	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/standin/memstore"
)

// TestBeatDuringShutdown processes heartbeats while the feed's service stops. The race detector reports a fetch that starts
// while the service already waits for those in flight.
func TestBeatDuringShutdown(t *testing.T) {
	const rounds = 200
	self := mesh.Peer{ID: "a", Zone: "z", Addr: "a:1"}
	for range rounds {
		router := mesh.NewRouter()
		f := NewFeed(memstore.New(), singleInstance{}, meshtest.New().Join(self, router), router)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = f.Run(ctx) })
		wg.Go(cancel)
		wg.Go(func() {
			f.HandleBeat(ctx, member.Beat{Peer: mesh.Peer{ID: "b", Zone: "z", Addr: "b:1"}, Config: 1})
		})
		wg.Wait()
	}
}
