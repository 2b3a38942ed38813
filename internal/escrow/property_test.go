package escrow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

const (
	propertyPrefix  = "escrow/"
	propertyPrepaid = 60_000
	propertyNodes   = 2
	propertySteps   = 50
)

var propertyCustomers = []string{"north"}

// simClock is a machine's steady clock in a test. Its zero moves with each loss of power.
type simClock struct {
	world *world
	base  time.Duration
	boot  string
}

func (c *simClock) Now() time.Duration { return c.world.elapsed + c.base }
func (c *simClock) Boot() string       { return c.boot }

// gate is one node's path to the store.
type gate struct {
	external.KV
	cut bool
}

func (g *gate) Read(ctx context.Context, key string) (external.Entry, int64, error) {
	if g.cut {
		return external.Entry{}, 0, external.ErrUnavailable
	}
	return g.KV.Read(ctx, key)
}

func (g *gate) Commit(ctx context.Context, c external.Commit) (int64, error) {
	if g.cut {
		return 0, external.ErrUnavailable
	}
	return g.KV.Commit(ctx, c)
}

// simNode is a machine with a holder.
type simNode struct {
	name   string
	clock  *simClock
	gate   *gate
	holder *Holder
	open   []*simReservation
	starts int
	step   time.Duration // of the time of day
}

type simReservation struct {
	customer string
	most     int64
	r        *Reservation
}

// world is a small fleet under one store, in virtual time.
type world struct {
	store   *memkv.Store
	elapsed time.Duration
	nodes   []*simNode
	spent   map[string]int64
	prepaid map[string]int64
}

func newWorld() *world {
	w := &world{store: memkv.New(), spent: make(map[string]int64), prepaid: make(map[string]int64)}
	for _, c := range propertyCustomers {
		w.prepaid[c] = propertyPrepaid
	}
	for i := range propertyNodes {
		n := &simNode{name: fmt.Sprintf("node-%d", i), gate: &gate{KV: w.store}}
		n.clock = &simClock{world: w, base: time.Duration(i) * 1000 * time.Hour, boot: "one"}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

func (w *world) start(n *simNode) {
	n.starts++
	n.open = nil
	now := func() time.Time { return time.Unix(1_000_000, 0).Add(w.elapsed + n.step) }
	n.holder = New(n.gate, propertyPrefix, 2, n.name, fmt.Sprintf("%s/%d", n.name, n.starts), WithClock(n.clock), WithNow(now))
	w.tell(n)
}

func (w *world) tell(n *simNode) {
	list := make([]Prepaid, 0, len(w.prepaid))
	for c, p := range w.prepaid {
		list = append(list, Prepaid{Customer: c, Tokens: p})
	}
	n.holder.SetPrepaid(list)
}

// draw makes one round of draws, as the holder's loop does.
func (w *world) draw(n *simNode) {
	n.holder.startBeat()
	for _, p := range n.holder.pages {
		n.holder.draw(context.Background(), p)
	}
}

func (w *world) reserve(n *simNode, customer string, most int64) {
	r, _, err := n.holder.try(customer, most, 0)
	if err == nil && r != nil {
		n.open = append(n.open, &simReservation{customer: customer, most: most, r: r})
	}
}

// settle ends the oldest reservation. What is used leaves the fleet at once, whatever becomes of the node.
func (w *world) settle(n *simNode, used int64) {
	if len(n.open) == 0 {
		return
	}
	o := n.open[0]
	n.open = n.open[1:]
	used = min(used, o.most)
	w.spent[o.customer] += used
	o.r.Settle(used)
}

// die ends a node's process; the requests it had open have been handed out in full.
func (w *world) die(n *simNode) {
	for len(n.open) > 0 {
		w.settle(n, n.open[0].most)
	}
}

func (w *world) powerLoss(n *simNode) {
	w.die(n)
	n.clock.base += 77 * time.Hour
	n.clock.boot += "+"
	w.start(n)
}

// burn spends all that the holder believes it may spend.
func (w *world) burn(n *simNode, customer string) {
	if left := n.holder.View(customer).Left; left > 0 {
		w.reserve(n, customer, left)
		w.die(n)
	}
}

func (w *world) check(t *rapid.T) {
	for c, spent := range w.spent {
		if spent > w.prepaid[c] {
			t.Fatalf("customer %s has spent %d of %d", c, spent, w.prepaid[c])
		}
	}
}

// TestNothingIsOverspent plays any mixture of use, cuts, lost and late answers, kills, losses of power and planned stops.
func TestNothingIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range propertySteps {
			n := w.nodes[rapid.IntRange(0, propertyNodes-1).Draw(t, "node")]
			w.act(t, n, rapid.IntRange(0, 15).Draw(t, "action"))
			w.check(t)
		}
	})
}

func (w *world) act(t *rapid.T, n *simNode, action int) {
	switch customer := rapid.SampledFrom(propertyCustomers).Draw(t, "customer"); action {
	case 0, 1, 2, 3:
		w.elapsed += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
		w.draw(n)
	case 4, 5:
		for range rapid.IntRange(1, 3).Draw(t, "requests") {
			w.reserve(n, customer, rapid.Int64Range(1, 9_000).Draw(t, "most"))
		}
	case 6:
		w.settle(n, rapid.Int64Range(0, 9_000).Draw(t, "used"))
	case 7, 8:
		w.burn(n, customer)
	case 9:
		w.elapsed += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
	case 10:
		n.gate.cut = !n.gate.cut
	case 11:
		w.die(n)
		w.start(n)
	case 12:
		w.powerLoss(n)
	case 13:
		w.store.SetLose(rapid.Bool().Draw(t, "lose"))
	case 14:
		w.store.SetLate(rapid.Bool().Draw(t, "late"))
		w.store.Release()
	case 15:
		w.leave(n)
	}
}

// leave is a planned stop and a new start.
func (w *world) leave(n *simNode) {
	w.die(n)
	for _, p := range n.holder.pages {
		if n.holder.leaveOnce(context.Background(), p) != nil {
			break
		}
	}
	w.start(n)
}
