//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// size is the size of a stream in tokens. An engine makes half of the most that a request asks for.
type size struct{ in, most int }

// atMost returns the most that a request of a size can use, and used what it uses if it is served whole.
func (s size) atMost() int { return s.in + s.most }
func (s size) used() int   { return s.in + s.most/2 }

// The sizes of requests.
var (
	large = size{in: 1000, most: 600}
	small = size{in: 100, most: 40}
)

const (
	stride        = 5 // tokens in an event
	eventInterval = 40 * time.Millisecond
	deadline      = 15 * time.Second
)

// outcome is a request as its client saw it.
type outcome struct {
	id, tenant string
	size       size
	node       *node
	process    time.Time // when the process that took it was started
	sent       time.Time
	ended      time.Time // zero: not yet
	status     int       // 0: no answer
	detail     string
	events     int
	whole      bool
}

// tokens returns what the tenant has received: the tokens in, once, and the tokens handed out.
func (o *outcome) tokens() int {
	if o.events == 0 {
		return 0
	}
	return o.size.in + min(o.size.most, o.events*stride)
}

// callers are all clients together. Each request takes a new connection, which the platform hands to a ready node.
type callers struct {
	log    *recorder
	fleet  *fleet
	keys   map[string]string // by tenant
	client *http.Client

	mu  sync.Mutex
	all []*outcome
	wg  sync.WaitGroup
}

func newCallers(log *recorder, f *fleet, keys map[string]string) *callers {
	return &callers{log: log, fleet: f, keys: keys, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends a request of a tenant and returns at once.
func (c *callers) send(tenant string, sz size) {
	ready := c.fleet.ready()
	if len(ready) == 0 {
		ready = c.fleet.nodes
	}
	n := ready[rand.IntN(len(ready))] //nolint:gosec // a test
	n.mu.Lock()
	began := n.began
	n.mu.Unlock()
	o := &outcome{tenant: tenant, size: sz, node: n, process: began, sent: time.Now()}
	c.mu.Lock()
	o.id = fmt.Sprintf("%016x", 0x1000+len(c.all))
	c.all = append(c.all, o)
	c.mu.Unlock()
	c.wg.Go(func() { c.exchange(o) })
}

func (c *callers) exchange(o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.node.front()+"/draft/1", strings.NewReader(`{"prompt":"."}`))
	if err != nil {
		panic(err) // the address is well formed
	}
	req.Host = "api.example"
	req.Header.Set("Request-Id", o.id)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", o.size.in, o.size.most))
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:%d,%s:%d", o.size.in/2, o.id, o.size.in-o.size.in/2))
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Key", c.keys[o.tenant])
	status, events, whole, detail := 0, 0, false, ""
	res, err := c.client.Do(req)
	if err != nil {
		detail = err.Error()
	} else {
		status = res.StatusCode
		s := bufio.NewScanner(res.Body)
		for s.Scan() {
			if status == http.StatusOK && strings.HasPrefix(s.Text(), "id:") {
				events++
			}
			if status != http.StatusOK {
				detail += s.Text()
			}
		}
		whole = s.Err() == nil
		_ = res.Body.Close()
	}
	c.mu.Lock()
	o.ended, o.status, o.events, o.whole, o.detail = time.Now(), status, events, whole, detail
	c.mu.Unlock()
	c.log.line("client: %s of %s, %d+%d tokens, to %s: status %d, %d events, %d tokens, whole %v, after %d ms %s", o.id, o.tenant, o.size.in, o.size.most, o.node.name, status, events, o.tokens(), whole, o.ended.Sub(o.sent).Milliseconds(), detail)
}

// press sends requests of the tenants and of the sizes in turn at a rate for a time, or until stop returns true. stop may
// be nil.
func (c *callers) press(tenants []string, sizes []size, perSecond float64, d time.Duration, stop func() bool) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	end := time.After(d)
	for i := 0; ; i++ {
		if stop != nil && stop() {
			return
		}
		c.send(tenants[i%len(tenants)], sizes[i/len(tenants)%len(sizes)])
		select {
		case <-end:
			return
		case <-t.C:
		}
	}
}

// received returns the tokens that a tenant has received so far.
func (c *callers) received(tenant string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.all {
		if o.tenant == tenant {
			n += o.tokens()
		}
	}
	return n
}

// atMost returns the tokens of a tenant at a moment: those of requests that had ended settle before, and the most of all
// others that had been sent, but for one.
func (c *callers) atMost(tenant string, at time.Time, settle time.Duration, but *outcome) int {
	n := 0
	for _, o := range c.all {
		switch {
		case o == but || o.tenant != tenant || o.sent.After(at):
		case !o.ended.IsZero() && !o.ended.Add(settle).After(at):
			n += o.tokens()
		default:
			n += o.size.atMost()
		}
	}
	return n
}
