// Package admit queues requests for the limited places at the endpoints: by class, fairly between customers, with
// deadlines, and so that short requests never wait behind long ones.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	longShare    = 0.75 // of the places, that long requests may take together
	queueFactor  = 4    // waiting requests per place
	smallestWait = 64   // waiting requests allowed in any case
	smoothing    = 0.1
	spareFactor  = 0.9 // a deadline is refused early if the expected wait is over this share of it
)

// Request describes a request to be admitted.
type Request struct {
	Priority int // smaller is more urgent
	Customer string
	Long     bool
	Deadline time.Time
}

// Gate admits requests to one pool.
type Gate struct {
	now      func() time.Time
	capacity func() int

	mu      sync.Mutex
	running int
	long    int
	waiting int
	lanes   map[laneKey]*lane
	hold    float64 // recent time that a place is held, seconds
}

type laneKey struct {
	priority int
	long     bool
}

// lane queues the requests of one class and length, in turns between customers.
type lane struct {
	order  []string // customers with waiting requests, next first
	queues map[string][]*waiter
	n      int
}

type waiter struct {
	ask   Request
	ready chan struct{}
	gone  bool
}

// New makes a gate. capacity tells how many requests may run together at present.
func New(capacity func() int, now func() time.Time) *Gate {
	return &Gate{now: now, capacity: capacity, lanes: make(map[laneKey]*lane)}
}

// Admit waits for a place. Its errors are NotRun. The place is given back with the function it returns.
func (g *Gate) Admit(ctx context.Context, a Request) (leave func(), err error) {
	g.mu.Lock()
	if g.waiting == 0 && g.fits(a.Long) {
		g.enter(a.Long)
		g.mu.Unlock()
		return g.leaver(a.Long), nil
	}
	if err := g.refuseEarly(a); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	w := &waiter{ask: a, ready: make(chan struct{})}
	g.push(w)
	g.wake()
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// refuseEarly refuses what cannot be served in time, or what there is no room to queue.
func (g *Gate) refuseEarly(a Request) error {
	places := g.capacity()
	if g.waiting >= max(smallestWait, queueFactor*places) && !g.displace(a.Priority) {
		return overloaded("the queue is full", g.expectedWait(a, places))
	}
	wait := g.expectedWait(a, places)
	left := a.Deadline.Sub(g.now())
	if wait > time.Duration(spareFactor*float64(left)) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline cannot be met", verdict.WithRetryAfter(max(wait, time.Second)))
	}
	return nil
}

func overloaded(detail string, wait time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, detail, verdict.WithRetryAfter(max(wait, time.Second)))
}

// expectedWait estimates the wait from the requests ahead and the time that places are held.
func (g *Gate) expectedWait(a Request, places int) time.Duration {
	ahead := 0
	for k, l := range g.lanes {
		if k.priority < a.Priority || (k.priority == a.Priority && (k.long == a.Long || !k.long)) {
			ahead += l.n
		}
	}
	return time.Duration(float64(ahead) * g.hold / float64(max(places, 1)) * float64(time.Second))
}

// displace makes room in a full queue by dropping the newest request of the least urgent class, if that is less
// urgent than priority.
func (g *Gate) displace(priority int) bool {
	worst := laneKey{priority: priority}
	found := false
	for k, l := range g.lanes {
		if l.n > 0 && k.priority > worst.priority {
			worst, found = k, true
		}
	}
	if !found {
		return false
	}
	w := g.lanes[worst].newest()
	w.gone = true
	g.waiting--
	close(w.ready)
	return true
}

func (g *Gate) fits(long bool) bool {
	places := g.capacity()
	if g.running >= places {
		return false
	}
	return !long || g.long < max(1, int(longShare*float64(places)))
}

func (g *Gate) enter(long bool) {
	g.running++
	if long {
		g.long++
	}
}

func (g *Gate) leaver(long bool) func() {
	start := g.now()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.running--
			if long {
				g.long--
			}
			g.hold += smoothing * (g.now().Sub(start).Seconds() - g.hold)
			g.wake()
		})
	}
}

func (g *Gate) push(w *waiter) {
	k := laneKey{w.ask.Priority, w.ask.Long}
	l, ok := g.lanes[k]
	if !ok {
		l = &lane{queues: make(map[string][]*waiter)}
		g.lanes[k] = l
	}
	l.push(w)
	g.waiting++
}

// Wake lets waiting requests in if places have come free; call it when the capacity has changed.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake()
}

func (g *Gate) wake() {
	for {
		w := g.next()
		if w == nil {
			return
		}
		g.waiting--
		g.enter(w.ask.Long)
		close(w.ready)
	}
}

// next takes the most urgent waiter that fits; short ones come before long ones of the same class.
func (g *Gate) next() *waiter {
	var best *lane
	var key laneKey
	for k, l := range g.lanes {
		if l.n == 0 || !g.fits(k.long) {
			continue
		}
		if best == nil || k.priority < key.priority || (k.priority == key.priority && !k.long) {
			best, key = l, k
		}
	}
	if best == nil {
		return nil
	}
	return best.pop()
}

func (g *Gate) wait(ctx context.Context, w *waiter) (func(), error) {
	timer := time.NewTimer(w.ask.Deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case <-w.ready:
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.gone {
			return nil, overloaded("more urgent requests came", time.Second)
		}
		return g.leaver(w.ask.Long), nil
	case <-ctx.Done():
		return nil, g.leaveQueue(w, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller left the queue"))
	case <-timer.C:
		return nil, g.leaveQueue(w, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline passed in the queue",
			verdict.WithRetryAfter(time.Second)))
	}
}

// leaveQueue takes a waiter out; if it was let in meanwhile, its place is given back.
func (g *Gate) leaveQueue(w *waiter, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.ready:
		if !w.gone {
			g.running--
			if w.ask.Long {
				g.long--
			}
			g.wake()
		}
	default:
		g.lanes[laneKey{w.ask.Priority, w.ask.Long}].remove(w)
		g.waiting--
	}
	return err
}

// Counts returns the requests that run and wait.
func (g *Gate) Counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.waiting
}

func (l *lane) push(w *waiter) {
	c := w.ask.Customer
	if len(l.queues[c]) == 0 {
		l.order = append(l.order, c)
	}
	l.queues[c] = append(l.queues[c], w)
	l.n++
}

// pop takes the next customer's oldest waiter and puts the customer at the end of the turns.
func (l *lane) pop() *waiter {
	c := l.order[0]
	l.order = l.order[1:]
	w := l.queues[c][0]
	l.queues[c] = l.queues[c][1:]
	l.n--
	if len(l.queues[c]) == 0 {
		delete(l.queues, c)
	} else {
		l.order = append(l.order, c)
	}
	return w
}

// newest takes the newest waiter of the customer with the most.
func (l *lane) newest() *waiter {
	most := l.order[0]
	for _, c := range l.order {
		if len(l.queues[c]) > len(l.queues[most]) {
			most = c
		}
	}
	q := l.queues[most]
	w := q[len(q)-1]
	l.remove(w)
	return w
}

func (l *lane) remove(w *waiter) {
	c := w.ask.Customer
	q := l.queues[c]
	for i, v := range q {
		if v != w {
			continue
		}
		l.queues[c] = append(q[:i:i], q[i+1:]...)
		l.n--
		break
	}
	if len(l.queues[c]) > 0 {
		return
	}
	delete(l.queues, c)
	for i, name := range l.order {
		if name == c {
			l.order = append(l.order[:i:i], l.order[i+1:]...)
			return
		}
	}
}
