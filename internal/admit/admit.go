// Package admit queues requests for the limited number of slots at the endpoints. It orders them by priority, is fair
// between customers and enforces deadlines. Short requests do not wait behind long ones of the same priority.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	longShare     = 0.75 // share of the slots that long requests may occupy together
	queuePerSlot  = 4    // queue limit, in waiting requests per slot
	minQueueLimit = 64   // lower bound of the queue limit
	smoothing     = 0.1  // weight of a new sample in the average holding time
	deadlineShare = 0.9  // a request is rejected early if the expected wait exceeds this share of the time to its deadline
)

// Request describes a request to be admitted.
type Request struct {
	Priority int // smaller is more urgent
	Customer string
	Long     bool
	Deadline time.Time
}

// Gate limits the concurrent requests to one pool.
type Gate struct {
	now      func() time.Time
	capacity func() int

	mu      sync.Mutex
	running int
	long    int
	waiting int
	queues  map[queueKey]*fairQueue
	avgHold float64 // moving average of the time for which a slot is held, in seconds
}

type queueKey struct {
	priority int
	long     bool
}

// fairQueue queues the requests of one priority and length. It serves customers in round-robin order.
type fairQueue struct {
	order      []string // customers with waiting requests; the next one to serve comes first
	byCustomer map[string][]*waiter
	n          int
}

type waiter struct {
	req       Request
	ready     chan struct{}
	displaced bool
}

// New returns a Gate. capacity returns how many requests may run concurrently at present.
func New(capacity func() int, now func() time.Time) *Gate {
	return &Gate{now: now, capacity: capacity, queues: make(map[queueKey]*fairQueue)}
}

// Admit waits for a slot. The caller releases the slot with the returned function. Errors have the verdict NotRun.
func (g *Gate) Admit(ctx context.Context, req Request) (release func(), err error) {
	g.mu.Lock()
	if g.waiting == 0 && g.hasSlot(req.Long) {
		g.occupy(req.Long)
		g.mu.Unlock()
		return g.releaseFunc(req.Long), nil
	}
	if err := g.rejectEarly(req); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	w := &waiter{req: req, ready: make(chan struct{})}
	g.push(w)
	g.wake()
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// rejectEarly rejects a request that cannot be served before its deadline, or that finds the queue full.
func (g *Gate) rejectEarly(req Request) error {
	slots := g.capacity()
	if g.waiting >= max(minQueueLimit, queuePerSlot*slots) && !g.displace(req.Priority) {
		return overloaded("the queue is full", g.expectedWait(req, slots))
	}
	wait := g.expectedWait(req, slots)
	left := req.Deadline.Sub(g.now())
	if wait > time.Duration(deadlineShare*float64(left)) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline cannot be met", verdict.WithRetryAfter(max(wait, time.Second)))
	}
	return nil
}

func overloaded(detail string, wait time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, detail, verdict.WithRetryAfter(max(wait, time.Second)))
}

// expectedWait estimates the wait from the number of requests ahead and the average time for which slots are held.
func (g *Gate) expectedWait(req Request, slots int) time.Duration {
	ahead := 0
	for k, fq := range g.queues {
		if k.priority < req.Priority || (k.priority == req.Priority && (k.long == req.Long || !k.long)) {
			ahead += fq.n
		}
	}
	return time.Duration(float64(ahead) * g.avgHold / float64(max(slots, 1)) * float64(time.Second))
}

// displace frees a place in a full queue. It drops the newest request of the least urgent priority, if that is less
// urgent than the given one, and reports whether it has dropped one.
func (g *Gate) displace(priority int) bool {
	lowest := queueKey{priority: priority}
	found := false
	for k, fq := range g.queues {
		if fq.n > 0 && k.priority > lowest.priority {
			lowest, found = k, true
		}
	}
	if !found {
		return false
	}
	w := g.queues[lowest].removeNewest()
	w.displaced = true
	g.waiting--
	close(w.ready)
	return true
}

func (g *Gate) hasSlot(long bool) bool {
	slots := g.capacity()
	if g.running >= slots {
		return false
	}
	return !long || g.long < max(1, int(longShare*float64(slots)))
}

func (g *Gate) occupy(long bool) {
	g.running++
	if long {
		g.long++
	}
}

func (g *Gate) releaseFunc(long bool) func() {
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
			g.avgHold += smoothing * (g.now().Sub(start).Seconds() - g.avgHold)
			g.wake()
		})
	}
}

func (g *Gate) push(w *waiter) {
	k := queueKey{w.req.Priority, w.req.Long}
	fq, ok := g.queues[k]
	if !ok {
		fq = &fairQueue{byCustomer: make(map[string][]*waiter)}
		g.queues[k] = fq
	}
	fq.push(w)
	g.waiting++
}

// Wake admits waiting requests if slots have become free. It must be called when the capacity has changed.
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
		g.occupy(w.req.Long)
		close(w.ready)
	}
}

// next removes the most urgent waiter for which a slot is free. Short requests precede long ones of the same priority.
func (g *Gate) next() *waiter {
	var best *fairQueue
	var key queueKey
	for k, fq := range g.queues {
		if fq.n == 0 || !g.hasSlot(k.long) {
			continue
		}
		if best == nil || k.priority < key.priority || (k.priority == key.priority && !k.long) {
			best, key = fq, k
		}
	}
	if best == nil {
		return nil
	}
	return best.pop()
}

func (g *Gate) wait(ctx context.Context, w *waiter) (func(), error) {
	timer := time.NewTimer(w.req.Deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case <-w.ready:
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.displaced {
			return nil, overloaded("more urgent requests came", time.Second)
		}
		return g.releaseFunc(w.req.Long), nil
	case <-ctx.Done():
		return nil, g.abandon(w, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller left the queue"))
	case <-timer.C:
		return nil, g.abandon(w, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline passed in the queue",
			verdict.WithRetryAfter(time.Second)))
	}
}

// abandon removes a waiter from its queue. If the waiter was admitted in the meantime, its slot is released.
func (g *Gate) abandon(w *waiter, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.ready:
		if !w.displaced {
			g.running--
			if w.req.Long {
				g.long--
			}
			g.wake()
		}
	default:
		g.queues[queueKey{w.req.Priority, w.req.Long}].remove(w)
		g.waiting--
	}
	return err
}

// Counts returns the numbers of running and of waiting requests.
func (g *Gate) Counts() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.waiting
}

func (fq *fairQueue) push(w *waiter) {
	c := w.req.Customer
	if len(fq.byCustomer[c]) == 0 {
		fq.order = append(fq.order, c)
	}
	fq.byCustomer[c] = append(fq.byCustomer[c], w)
	fq.n++
}

// pop removes the oldest waiter of the next customer and moves the customer to the end of the round-robin order.
func (fq *fairQueue) pop() *waiter {
	c := fq.order[0]
	fq.order = fq.order[1:]
	w := fq.byCustomer[c][0]
	fq.byCustomer[c] = fq.byCustomer[c][1:]
	fq.n--
	if len(fq.byCustomer[c]) == 0 {
		delete(fq.byCustomer, c)
	} else {
		fq.order = append(fq.order, c)
	}
	return w
}

// removeNewest removes the newest waiter of the customer with the most waiters.
func (fq *fairQueue) removeNewest() *waiter {
	longest := fq.order[0]
	for _, c := range fq.order {
		if len(fq.byCustomer[c]) > len(fq.byCustomer[longest]) {
			longest = c
		}
	}
	q := fq.byCustomer[longest]
	w := q[len(q)-1]
	fq.remove(w)
	return w
}

func (fq *fairQueue) remove(w *waiter) {
	c := w.req.Customer
	q := fq.byCustomer[c]
	for i, v := range q {
		if v != w {
			continue
		}
		fq.byCustomer[c] = append(q[:i:i], q[i+1:]...)
		fq.n--
		break
	}
	if len(fq.byCustomer[c]) > 0 {
		return
	}
	delete(fq.byCustomer, c)
	for i, name := range fq.order {
		if name == c {
			fq.order = append(fq.order[:i:i], fq.order[i+1:]...)
			return
		}
	}
}
