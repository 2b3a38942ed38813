package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the case are in seconds since the routers are ready.
const (
	movedChange = 5.0  // the settings files change
	movedClose  = 10.0 // the old address of the store is given up
	movedRevoke = 18.0 // a key is taken away
	movedEnd    = 32.0
	movedShare  = 0.3  // of the machines that get SIGHUP
	revokeMs    = 5000 // the longest bound for a configuration
)

// moved changes the address of the store in the settings of all machines, and later takes a key away.
func moved(trouble bool) []string {
	w := newWorld("review/5/record.txt", 6, 6, 3)
	defer w.close()
	w.tenant("stays", 1<<40)
	w.tenant("leaves", 1<<40)
	w.configure()
	w.start()
	began := w.j.now()
	for c := range 24 {
		w.client(uint64(c)+1, "pl", []string{"key-stays", "key-leaves"}[c%2], w.any, 300*time.Millisecond)
	}
	at := func(s float64) {
		time.Sleep(time.Duration(began)*time.Millisecond + time.Duration(s*float64(time.Second)) - time.Since(w.j.began))
	}
	next := w.store.open(hostOf(201)) // the same store at a further address
	at(movedChange)
	if trouble {
		w.move(next)
	}
	at(movedClose)
	if trouble {
		w.door.close()
		w.j.note("the old address of the store is given up")
	}
	at(movedRevoke)
	w.revoke("key-leaves")
	w.configure()
	acked := w.j.now()
	w.j.note("a key is taken away")
	at(movedEnd)
	w.stop.Store(true)
	w.clients.Wait()
	return append(w.audit(), w.stale(acked)...)
}

// move lays new settings for all machines, and tells some of them.
func (w *world) move(next *door) {
	for _, r := range w.routers {
		r.store = next.addr
		r.write()
	}
	told := int(movedShare * float64(len(w.routers))) // rounded down, to stay inside the share
	for _, i := range rand.Perm(len(w.routers))[:told] {
		w.routers[i].signal(syscall.SIGHUP)
	}
	w.j.note("the settings of all machines name another address of the store; %d get SIGHUP", told)
}

// stale checks the rule CONFIG: no request runs with a key that was taken away.
func (w *world) stale(acked int64) []string {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	ran := make(map[string]bool)
	for _, r := range w.j.runs {
		ran[r.ID] = true
	}
	late, served, machines := 0, 0, make(map[string]bool)
	for _, a := range w.j.answers {
		if a.Key != w.revoked || a.Sent <= acked+revokeMs {
			continue
		}
		late++
		if ran[a.ID] {
			served++
			machines[a.Node] = true
		}
	}
	fmt.Printf("       %d requests with the key were sent later than %d ms after its end was acknowledged, %d of them ran, through %d of %d machines\n", late, revokeMs, served, len(machines), len(w.routers))
	if late == 0 {
		fail("no request was sent with the key")
	}
	if served > 0 {
		return []string{fmt.Sprintf("CONFIG: %d of %d requests ran with a key that no configuration in force holds", served, late)}
	}
	return nil
}
