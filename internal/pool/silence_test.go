package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// countSentToSilent simulates a fleet of 87 instances at 420 requests a second while a fifth of 90 endpoints no
// longer respond, and returns how many requests are sent to these in four seconds. If exchange is set, instances
// exchange their loads each half second.
func countSentToSilent(exchange bool) int {
	const (
		instances, endpoints, silent = 87, 90, 18
		requests                     = 420 // a second
		topics                       = 360
		duration                     = 4 * time.Second // as long as the endpoints' records stay in the store
		exchangeEvery                = 500 * time.Millisecond
		lifetime                     = 2 * time.Second
		eventEvery                   = 60 * time.Millisecond
	)
	clock := &testClock{at: time.Unix(1000, 0)}
	start := clock.at
	pools := make([]*Pool, instances)
	for i := range pools {
		pools[i] = New("a", WithNow(clock.now))
		for e := range endpoints {
			pools[i].Put(Endpoint{ID: fmt.Sprint("e-", e), Service: "models", Addr: "10.0.0.1:80", Zone: "a", Slots: 48})
		}
	}
	isSilent := func(e Endpoint) bool {
		var n int
		_, _ = fmt.Sscanf(e.ID, "e-%d", &n)
		return n < silent
	}
	random := rand.New(rand.NewPCG(1, 2))
	type stream struct {
		lease *Lease
		until time.Time
	}
	var running []stream
	sent := 0
	lastEvent, lastExchange := start, start
	for clock.at.Before(start.Add(duration)) {
		clock.pass(time.Second / requests)
		if clock.at.Sub(lastEvent) >= eventEvery {
			lastEvent = clock.at
			for _, s := range running {
				s.lease.Received()
			}
		}
		if exchange && clock.at.Sub(lastExchange) >= exchangeEvery {
			lastExchange = clock.at
			exchangeLoads(pools)
		}
		for len(running) > 0 && clock.at.After(running[0].until) {
			running[0].lease.Done(EndGood)
			running = running[1:]
		}
		lease := pools[random.IntN(instances)].Pick(Query{Service: "models", Affinity: fmt.Sprint("topic-", random.IntN(topics)), Prompt: 800, Shared: 600})
		if isSilent(lease.Endpoint()) {
			sent++ // the request gets no response
			continue
		}
		running = append(running, stream{lease, clock.at.Add(lifetime)})
	}
	return sent
}

func TestSilenceFromPeers(t *testing.T) {
	Convey("Instances that exchange their loads send far fewer requests to endpoints that have fallen silent", t, func() {
		isolated, exchanging := countSentToSilent(false), countSentToSilent(true)
		So(exchanging, ShouldBeLessThan, isolated*6/10)
	})

	Convey("An endpoint counts as silent only if at least two, and half, of its open requests wait in vain", t, func() {
		So(Load{Open: 1, Silent: 1}.silent(), ShouldBeFalse)
		So(Load{Open: 9, Silent: 4}.silent(), ShouldBeFalse)
		So(Load{Open: 8, Silent: 4}.silent(), ShouldBeTrue)
	})
}
