package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the case are in seconds since the routers are ready, those of the pages in milliseconds.
const (
	killsFirst    = 8.0
	killsGap      = 10.0
	killsCount    = 3
	killsShare    = 0.55
	killsDown     = 500 * time.Millisecond // until the platform starts a process again
	killsEnd      = 80.0
	killsPrepaid  = 360_000 // tokens of each of the tenants, some 45 s of what they ask for
	contactMs     = 3000
	settleMs      = 1500
	deniedAllowed = 5
)

// kills ends processes with SIGKILL, many at the same moment, and lets the tenants use up what they have prepaid.
func kills(trouble bool) []string {
	w := newWorld("review/4/record.txt", 6, 9, 2)
	defer w.close()
	for i := range 3 {
		w.tenant(fmt.Sprintf("t%d", i), killsPrepaid)
	}
	w.configure()
	w.start()
	began := w.j.now()
	touched := make(map[string]int64) // when each machine was last disrupted
	for c := range 36 {
		w.client(uint64(c)+1, "ds", fmt.Sprintf("key-t%d", c%3), w.any, 600*time.Millisecond)
	}
	at := func(s float64) {
		time.Sleep(time.Duration(began)*time.Millisecond + time.Duration(s*float64(time.Second)) - time.Since(w.j.began))
	}
	for i := range killsCount {
		at(killsFirst + killsGap*float64(i))
		if trouble {
			w.herdKill(touched)
		}
	}
	at(killsEnd)
	w.stop.Store(true)
	w.clients.Wait()
	broken := w.audit()
	return append(broken, w.denied(touched)...)
}

// herdKill kills the share of processes at the same moment. The platform starts them again.
func (w *world) herdKill(touched map[string]int64) {
	n := int(killsShare * float64(len(w.routers))) // rounded down, to stay inside the share
	first := rand.IntN(len(w.routers))
	var herd []*router
	for i := range n {
		herd = append(herd, w.routers[(first+i)%len(w.routers)])
	}
	for _, x := range herd {
		x.signal(syscall.SIGKILL)
	}
	w.j.note("%d processes are killed", len(herd))
	time.Sleep(killsDown)
	for _, x := range herd {
		<-x.ended
		x.start()
		touched[x.node] = w.j.now()
	}
}

// denied checks the rule DENIED for 402: a request that fits, at its most, into 97 in 100 of what is prepaid.
func (w *world) denied(touched map[string]int64) []string {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	count, refused := 0, 0
	first := int64(-1)
	var least int64
	for _, a := range w.j.answers {
		if a.Status != 402 {
			continue
		}
		refused++
		if t, ok := touched[a.Node]; ok && a.Sent < t+contactMs {
			continue
		}
		taken := int64(0)
		for _, o := range w.j.answers {
			if o.Key != a.Key || o.ID == a.ID || o.Out == 0 || o.Sent >= a.Ended {
				continue
			}
			switch {
			case o.Ended > a.Sent-settleMs:
				if o.Status == 0 || o.Status == 200 {
					taken += int64(o.In + o.Out)
				}
			case o.Events > 0:
				taken += int64(o.In + 5*o.Events)
			}
		}
		if rest := int64(0.97*float64(killsPrepaid)) - taken; rest >= int64(a.In+a.Out) {
			count++
			if first < 0 {
				first, least = a.Ended, rest
			}
			least = min(least, rest)
		}
	}
	allowed := deniedAllowed + len(w.j.answers)/500
	fmt.Printf("       %d requests, %d with 402, %d of them denied, %d allowed; first at %d ms, at least %d tokens left then\n", len(w.j.answers), refused, count, allowed, first, least)
	if count > allowed {
		return []string{fmt.Sprintf("DENIED: %d of %d requests got 402 although they fit, %d allowed", count, len(w.j.answers), allowed)}
	}
	return nil
}
