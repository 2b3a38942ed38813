package budget

import (
	"context"
	"sync"
	"testing"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/standin/memstore"
)

// TestSettleDuringShutdown settles reservations while the client's service stops. The race detector reports a
// settlement that starts while the service already waits for those in flight.
func TestSettleDuringShutdown(t *testing.T) {
	const rounds = 50
	self := mesh.Peer{ID: "a", Zone: "z", Addr: "a:1"}
	for range rounds {
		router := mesh.NewRouter()
		net := meshtest.New()
		c := NewClient(memstore.New(), pairView{self, self}, net.Join(self, router), router)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = c.Run(ctx) })
		h := &Hold{c: c, tokens: 1, addr: "gone:1"}
		wg.Go(cancel)
		wg.Go(func() { h.Settle(1) })
		wg.Wait()
	}
}
