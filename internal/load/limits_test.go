package load

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
	"github.com/ledgemount/ledgemount/internal/pool"
)

const (
	limitZones  = 3
	limitStep   = 25 * time.Millisecond
	limitWindow = 4 * time.Second
	limitSettle = 3 * time.Second
)

// limited is a fleet before three endpoints, of which the first names a limit in each answer; virtual time.
type limited struct {
	bed
	list           []mesh.Peer
	rate           limit.Rate
	got            []time.Time // arrivals at the first endpoint
	asked, refused int
	turn           []int // how often an instance has made an exchange, in exchanges' lengths
}

func newLimited(ctx context.Context, instances int, rate float64) *limited {
	b := &limited{bed: bed{net: meshtest.New(), now: time.Unix(1_000_000, 0)}, rate: limit.PerSecond(rate), turn: make([]int, instances)}
	known := false
	clock := func() time.Time {
		if !known {
			b.now = b.now.Add(time.Second) // so that instances take it that they know each other
		}
		return b.now
	}
	for i := range instances {
		id := fmt.Sprintf("i-%d", i)
		b.list = append(b.list, mesh.Peer{ID: id, Zone: string(rune('a' + i%limitZones)), Addr: id + ":1"})
	}
	const large = 17
	fleet, err := peerstest.Fleet(ctx, b.net, clock, large, b.list)
	So(err, ShouldBeNil)
	known = true
	for _, x := range fleet {
		p := pool.New(x.Self.Zone, pool.WithNow(clock), pool.WithLeases())
		for e := range 3 {
			p.Put(pool.Endpoint{ID: fmt.Sprintf("e-%d", e), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", e), Zone: "a", Slots: 64})
		}
		b.pools = append(b.pools, p)
		b.nodes = append(b.nodes, New(x.Dir, p, x.Router, WithNow(clock)))
	}
	return b
}

// run lets callers ask some instances for a while, so many requests a second in all, and all instances exchange.
func (b *limited) run(ctx context.Context, d time.Duration, perSecond float64, callers ...int) {
	due := 0.0
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(limitStep) {
		for i, x := range b.nodes {
			phase := time.Duration(i%int(tellEvery/limitStep)) * limitStep
			if turn := int(b.now.Add(-phase).UnixNano() / int64(tellEvery)); turn != b.turn[i] {
				b.turn[i] = turn
				x.Sync(ctx)
			}
		}
		for due += perSecond * limitStep.Seconds(); due >= 1; due-- {
			b.asked++
			b.ask(b.pools[callers[b.asked%len(callers)]])
		}
	}
}

// ask sends one request, which is answered at once.
func (b *limited) ask(p *pool.Pool) {
	lease := p.Pick(pool.Query{Service: "models", Affinity: fmt.Sprint(b.asked)})
	if lease == nil {
		b.refused++
		return
	}
	word := pool.Notice{}
	if lease.Endpoint().ID == "e-0" {
		b.got = append(b.got, b.now)
		word.Limit = b.rate
	}
	lease.ObserveNotice(word, pool.Answer{})
	lease.Done(pool.EndGood)
}

// most is the greatest number of requests that the first endpoint got in any window since a moment.
func (b *limited) most(since time.Time) (most, all int) {
	first := 0
	for i, t := range b.got {
		for b.got[first].Before(since) && first < i || t.Sub(b.got[first]) >= limitWindow {
			first++
		}
		if !t.Before(since) {
			most = max(most, i-first+1)
			all++
		}
	}
	return most, all
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// An endpoint's limit is kept by the sum of what instances send, whose parts are told and lent with the exchange of loads.
func TestLimits(t *testing.T) {
	for _, instances := range []int{3, 6, 30, 300} {
		for _, c := range []struct {
			name    string
			callers []int
		}{{"callers are everywhere", all(instances)}, {"all callers are at one instance", []int{1}}} {
			name := fmt.Sprintf("%d instances, %s", instances, c.name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				Convey(name+": they keep to a limit of 4 a second and use it", t, func() { playLimits(t, name, instances, c.callers) })
			})
		}
	}
}

func playLimits(t *testing.T, name string, instances int, callers []int) {
	const rate, length = 4, 8 * time.Second
	ctx, load := context.Background(), max(150, 2*float64(instances))
	b := newLimited(ctx, instances, rate)
	b.run(ctx, limitSettle, load, callers...)
	since := b.now
	play := func(what string, cut func(from, to mesh.Peer) bool) (got int) {
		begun := b.now
		b.net.SetCut(cut)
		b.run(ctx, length, load, callers...)
		_, got = b.most(begun)
		most, _ := b.most(since)
		t.Logf("%s, %s: most %d, %d in %v", name, what, most, got, length)
		SoMsg(what, float64(most), ShouldBeLessThanOrEqualTo, 1.5*rate*limitWindow.Seconds()+5)
		So(b.refused, ShouldEqual, 0)
		return got
	}
	none := func(_, _ mesh.Peer) bool { return false }
	So(float64(play("all linked", none)), ShouldBeGreaterThanOrEqualTo, 0.5*rate*length.Seconds())
	play("a zone is cut off", func(from, to mesh.Peer) bool { return (from.Zone == "c") != (to.Zone == "c") })
	play("linked again", none)
	play("nobody reaches another", func(_, _ mesh.Peer) bool { return true })
	play("linked again", none)
	So(float64(play("linked for some time", none)), ShouldBeGreaterThanOrEqualTo, 0.5*rate*length.Seconds())

	b.rate = limit.Rate{}
	b.run(ctx, 4*time.Second, load, callers...)
	since = b.now
	b.run(ctx, time.Second, load, callers...)
	_, got := b.most(since)
	So(float64(got), ShouldBeGreaterThanOrEqualTo, 0.5*load/3) // it is lifted: half of an even share at least
}
