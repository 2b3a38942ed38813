package escrow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

// slowKV delays each call like a store on a network, so that the holders' writes conflict.
type slowKV struct{ external.KV }

const (
	slowCall        = 4 * time.Millisecond
	startingHolders = 40
)

func (s slowKV) Read(ctx context.Context, key string) (external.Entry, int64, error) {
	time.Sleep(slowCall)
	return s.KV.Read(ctx, key)
}

func (s slowKV) Commit(ctx context.Context, c external.Commit) (int64, error) {
	time.Sleep(slowCall)
	return s.KV.Commit(ctx, c)
}

func TestConcurrentStart(t *testing.T) {
	Convey("Forty holders that start at once, twice, are all ready within eight seconds", t, func() {
		store := slowKV{memkv.New()}
		for start := range 2 {
			ctx, cancel := context.WithCancel(context.Background())
			var g sync.WaitGroup
			holders := make([]*Holder, 0, startingHolders)
			for i := range startingHolders {
				h := New(store, "p/", 1, fmt.Sprintf("node-%d", i), fmt.Sprintf("node-%d/%d", i, start))
				h.SetPrepaid([]Prepaid{{Customer: "north", Tokens: 1_000_000}})
				holders = append(holders, h)
				g.Go(func() { _ = h.Run(ctx) })
			}
			end := time.Now().Add(8 * time.Second)
			ready := 0
			for ready < len(holders) && time.Now().Before(end) {
				time.Sleep(20 * time.Millisecond)
				ready = 0
				for _, h := range holders {
					if h.Ready() {
						ready++
					}
				}
			}
			cancel()
			g.Wait()
			So(ready, ShouldEqual, len(holders))
		}
	})
}
