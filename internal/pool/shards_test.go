package pool

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// sizedPool returns a pool of n endpoints of one service.
func sizedPool(n int) *Pool {
	p := New("a")
	for i := range n {
		p.Put(Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "models", Addr: "10.0.0.1:80", Zone: "a", Slots: 4})
	}
	return p
}

func TestShards(t *testing.T) {
	Convey("The endpoints that are compared for a request are bounded, whatever their number", t, func() {
		for _, n := range []int{1, 100, 2*shardSize - 1, 2 * shardSize, 1300, 10_000, 20_000} {
			p := sizedPool(n)
			seen := make(map[string]bool)
			for i := range 400 {
				l := p.Pick(Query{Service: "models", Affinity: fmt.Sprint(i)})
				So(len(p.compared), ShouldBeLessThan, 3*shardSize)
				seen[l.Endpoint().ID] = true
				l.Done(EndGood)
			}
			So(len(seen), ShouldBeGreaterThan, min(n, 400)/3)
		}
	})

	Convey("In a service of several shards", t, func() {
		p, other := sizedPool(3000), sizedPool(3000)

		Convey("all instances pick the same endpoint for an affinity, and a few endpoints that come or go change few picks", func() {
			pick := func(p *Pool, i int) string {
				l := p.Pick(Query{Service: "models", Affinity: fmt.Sprint(i)})
				defer l.Done(EndGood)
				return l.Endpoint().ID
			}
			before := make([]string, 300)
			for i := range before {
				before[i] = pick(p, i)
				So(pick(other, i), ShouldEqual, before[i])
			}
			for i := range 30 {
				p.Remove(fmt.Sprintf("e-%d", 100*i))
			}
			moved := 0
			for i := range before {
				if pick(p, i) != before[i] {
					moved++
				}
			}
			So(moved, ShouldBeLessThan, 20)
		})

		Convey("a request whose shard has no healthy endpoint gets one of another shard", func() {
			q := Query{Service: "models", Affinity: "k"}
			p.Pick(q).Done(EndGood)
			for _, m := range append([]*member(nil), p.compared...) {
				e := m.Endpoint
				e.Draining = true
				p.Put(e)
			}
			l := p.Pick(q)
			So(l, ShouldNotBeNil)
			So(l.Endpoint().Draining, ShouldBeFalse)
		})

		Convey("requests without an affinity reach all shards", func() {
			reached := make(map[*member]bool)
			for range 100 {
				p.Pick(Query{Service: "models"}).Done(EndGood)
				reached[p.compared[0]] = true
			}
			So(reached, ShouldHaveLength, shardCount(3000))
		})
	})
}
