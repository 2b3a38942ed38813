package load

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
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

// limitedFleet is a fleet in virtual time that sends to three endpoints, of which the first announces a limit in each
// response.
type limitedFleet struct {
	testFleet
	list                []mesh.Peer
	rate                limit.Rate
	arrivals            []time.Time // requests at the first endpoint
	requested, rejected int
	lastInterval        []int // number of the interval of the last exchange, by instance
}

func newLimitedFleet(ctx context.Context, instances int, rate float64) *limitedFleet {
	f := &limitedFleet{testFleet: testFleet{net: meshtest.New(), now: time.Unix(1_000_000, 0)}, rate: limit.PerSecond(rate), lastInterval: make([]int, instances)}
	started := false
	clock := func() time.Time {
		if !started {
			f.now = f.now.Add(time.Second) // so that instances discover each other
		}
		return f.now
	}
	for i := range instances {
		id := fmt.Sprintf("i-%d", i)
		f.list = append(f.list, mesh.Peer{ID: id, Zone: string(rune('a' + i%limitZones)), Addr: id + ":1"})
	}
	const large = 17
	fleet, err := peerstest.Fleet(ctx, f.net, clock, large, f.list)
	So(err, ShouldBeNil)
	started = true
	for _, x := range fleet {
		p := pool.New(x.Self.Zone, pool.WithNow(clock), pool.WithLeases())
		for e := range 3 {
			p.Put(pool.Endpoint{ID: fmt.Sprintf("e-%d", e), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", e), Zone: "a", Slots: 64})
		}
		f.pools = append(f.pools, p)
		f.nodes = append(f.nodes, New(x.Dir, p, x.Router, WithNow(clock)))
	}
	return f
}

// run sends perSecond requests per second in total through the given instances for a duration, while all instances
// exchange loads.
func (f *limitedFleet) run(ctx context.Context, d time.Duration, perSecond float64, callers ...int) {
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(limitStep) {
		for i, x := range f.nodes {
			phase := time.Duration(i%int(exchangeInterval/limitStep)) * limitStep
			if interval := int(f.now.Add(-phase).UnixNano() / int64(exchangeInterval)); interval != f.lastInterval[i] {
				f.lastInterval[i] = interval
				x.Sync(ctx)
			}
		}
		for due += perSecond * limitStep.Seconds(); due >= 1; due-- {
			f.requested++
			f.sendRequest(f.pools[callers[f.requested%len(callers)]])
		}
	}
}

// sendRequest sends one request, which the endpoint answers at once.
func (f *limitedFleet) sendRequest(p *pool.Pool) {
	lease := p.Pick(pool.Query{Service: "models", Affinity: fmt.Sprint(f.requested)})
	if lease == nil {
		f.rejected++
		return
	}
	notice := pool.Notice{}
	if lease.Endpoint().ID == "e-0" {
		f.arrivals = append(f.arrivals, f.now)
		notice.Limit = f.rate
	}
	lease.ObserveNotice(notice, pool.ResponseInfo{})
	lease.Done(pool.EndGood)
}

// peak returns the greatest number of requests that the first endpoint received in any window after since, and their
// total after since.
func (f *limitedFleet) peak(since time.Time) (peak, total int) {
	first := 0
	for i, t := range f.arrivals {
		for f.arrivals[first].Before(since) && first < i || t.Sub(f.arrivals[first]) >= limitWindow {
			first++
		}
		if !t.Before(since) {
			peak = max(peak, i-first+1)
			total++
		}
	}
	return peak, total
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestLimits checks that the requests of all instances together stay within the limit of an endpoint, whose shares are
// claimed and granted with the load exchange. In a synctest bubble no call reaches its timeout only because the machine is
// busy.
func TestLimits(t *testing.T) {
	for _, instances := range []int{3, 6, 30, 300} {
		for _, c := range []struct {
			name    string
			callers []int
		}{{"callers at all instances", indexes(instances)}, {"all callers at one instance", []int{1}}} {
			name := fmt.Sprintf("%d instances, %s", instances, c.name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					Convey(name+": they stay within a limit of 4 requests per second and use it", t, func() { testLimits(t, name, instances, c.callers) })
				})
			})
		}
	}
}

func testLimits(t *testing.T, name string, instances int, callers []int) {
	const rate, length = 4, 8 * time.Second
	ctx, load := context.Background(), max(150, 2*float64(instances))
	f := newLimitedFleet(ctx, instances, rate)
	f.run(ctx, limitSettle, load, callers...)
	since := f.now
	runPhase := func(phase string, cut func(from, to mesh.Peer) bool) (got int) {
		start := f.now
		f.net.SetCut(cut)
		f.run(ctx, length, load, callers...)
		_, got = f.peak(start)
		peak, _ := f.peak(since)
		t.Logf("%s, %s: most %d, %d in %v", name, phase, peak, got, length)
		SoMsg(phase, float64(peak), ShouldBeLessThanOrEqualTo, 1.5*rate*limitWindow.Seconds()+5)
		So(f.rejected, ShouldEqual, 0)
		return got
	}
	none := func(_, _ mesh.Peer) bool { return false }
	So(float64(runPhase("connected", none)), ShouldBeGreaterThanOrEqualTo, 0.5*rate*length.Seconds())
	runPhase("one availability zone is isolated", func(from, to mesh.Peer) bool { return (from.Zone == "c") != (to.Zone == "c") })
	runPhase("connected again", none)
	runPhase("every instance is isolated", func(_, _ mesh.Peer) bool { return true })
	runPhase("connected again", none)
	So(float64(runPhase("connected for some time", none)), ShouldBeGreaterThanOrEqualTo, 0.5*rate*length.Seconds())

	f.rate = limit.Rate{}
	f.run(ctx, 4*time.Second, load, callers...)
	since = f.now
	f.run(ctx, time.Second, load, callers...)
	_, got := f.peak(since)
	So(float64(got), ShouldBeGreaterThanOrEqualTo, 0.5*load/3) // the limit is lifted: at least half of an even share
}
