package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// countSentToSilent plays a fleet of 87 instances at 420 requests a second while a fifth of 90 endpoints say nothing any more, and returns how
// many requests are sent to these in four seconds. told: instances tell each other each half second what they have under way.
func countSentToSilent(told bool) int {
	const (
		instances, endpoints, dark = 87, 90, 18
		requests                   = 420 // a second
		topics                     = 360
		lasts                      = 4 * time.Second // as long as the endpoints' records stay in the store
		tellEvery                  = 500 * time.Millisecond
		life                       = 2 * time.Second
		eventEvery                 = 60 * time.Millisecond
	)
	clock := &testClock{at: time.Unix(1000, 0)}
	begun := clock.at
	pools := make([]*Pool, instances)
	for i := range pools {
		pools[i] = New("a", WithNow(clock.now))
		for e := range endpoints {
			pools[i].Put(Endpoint{ID: fmt.Sprint("e-", e), Service: "models", Addr: "10.0.0.1:80", Zone: "a", Slots: 48})
		}
	}
	isDark := func(e Endpoint) bool {
		var n int
		_, _ = fmt.Sscanf(e.ID, "e-%d", &n)
		return n < dark
	}
	random := rand.New(rand.NewPCG(1, 2))
	type stream struct {
		lease *Lease
		until time.Time
	}
	var running []stream
	sent := 0
	lastEvent, lastTold := begun, begun
	for clock.at.Before(begun.Add(lasts)) {
		clock.pass(time.Second / requests)
		if clock.at.Sub(lastEvent) >= eventEvery {
			lastEvent = clock.at
			for _, s := range running {
				s.lease.Received()
			}
		}
		if told && clock.at.Sub(lastTold) >= tellEvery {
			lastTold = clock.at
			exchangeLoads(pools)
		}
		for len(running) > 0 && clock.at.After(running[0].until) {
			running[0].lease.Done(EndGood)
			running = running[1:]
		}
		lease := pools[random.IntN(instances)].Pick(Query{Service: "models", Affinity: fmt.Sprint("topic-", random.IntN(topics)), Prompt: 800, Shared: 600})
		if isDark(lease.Endpoint()) {
			sent++ // it waits in vain
			continue
		}
		running = append(running, stream{lease, clock.at.Add(life)})
	}
	return sent
}

func TestSilenceFromPeers(t *testing.T) {
	Convey("Where many endpoints fall silent, an instance learns of it from others before it has sent them requests of its own", t, func() {
		alone, told := countSentToSilent(false), countSentToSilent(true)
		So(told, ShouldBeLessThan, alone*6/10)
	})

	Convey("One instance that hears nothing says little of an endpoint", t, func() {
		So(Load{Open: 1, Silent: 1}.silent(), ShouldBeFalse)
		So(Load{Open: 9, Silent: 4}.silent(), ShouldBeFalse)
		So(Load{Open: 8, Silent: 4}.silent(), ShouldBeTrue)
	})
}
