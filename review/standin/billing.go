//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the rules, as the settings state them.
const (
	contact  = 3000 * time.Millisecond // contactMs
	settle   = 1500 * time.Millisecond // settle_ms
	fitsInto = 0.97                    // of prepaid: a request that does not fit is not owed
)

// Doses of the disruptions: those of the site file.
const (
	lostShare   = 0.35
	lostFor     = 4500 * time.Millisecond
	lostWindows = 6 // one after the other, for as long as the machines are stopped in turn
	rollGap     = 2 * time.Second
)

// lostFrom is when answers begin to be lost, from the first SIGTERM: a machine that stops gives its budget back 2.8 s
// after its SIGTERM at the earliest.
const lostFrom = 2500 * time.Millisecond

// doubleBilling stops all machines in turn while answers of the store are lost, and then uses up the tenant's budget.
// DENIED: machines in touch refuse no more than 5 + one in 500 of all requests with a 402 although they fit.
func doubleBilling(t *trial) error {
	tenant := t.tenants[0]
	t.callers.press(t.tenants, []size{large}, 24, 20*time.Second, nil)
	rolled := make(chan error, 1)
	go func() { rolled <- t.roll(rollGap) }()
	pressed := make(chan struct{})
	go func() {
		defer close(pressed)
		t.callers.press(t.tenants, []size{large}, 12, lostFrom+lostWindows*lostFor, nil)
	}()
	time.Sleep(lostFrom)
	t.loseAnswers()
	stable := time.Now().Add(contact)
	<-pressed
	if err := <-rolled; err != nil {
		return err
	}
	t.callers.wg.Wait()
	time.Sleep(contact + time.Second)
	t.log.line("all machines are in touch: %s has received %d of %d tokens", tenant, t.callers.received(tenant), t.prepaid)
	t.callers.press(t.tenants, []size{large, small}, 24, 22*time.Second, func() bool { return t.exhausted(tenant) })
	t.callers.wg.Wait()
	return t.checkDenied(tenant, stable)
}

// loseAnswers makes the store lose answers for some windows. Without trouble it answers all calls in that time.
func (t *trial) loseAnswers() {
	for i := range lostWindows {
		if t.trouble {
			t.log.line("platform_lost %d: x %.2f, for_s %.1f", i+1, lostShare, lostFor.Seconds())
			t.store.setLost(lostShare)
		}
		time.Sleep(lostFor)
	}
	t.store.setLost(0)
	done, lost := t.store.lostAnswers()
	t.log.line("platform_lost ends: %d writes were done, %d of them not answered", done, lost)
}

// exhausted reports whether one more request of the tenant would no longer be owed.
func (t *trial) exhausted(tenant string) bool {
	t.callers.mu.Lock()
	defer t.callers.mu.Unlock()
	return float64(t.callers.atMost(tenant, time.Now(), settle, nil)+large.atMost()) > fitsInto*float64(t.prepaid)
}

// checkDenied counts the 402 of machines in touch for requests that were owed.
func (t *trial) checkDenied(tenant string, stable time.Time) error {
	c := t.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	denied, all, others := 0, len(c.all), make(map[int]int)
	for _, o := range c.all {
		others[o.status]++
		inTouch := !o.sent.Before(stable) && !o.sent.Before(o.process.Add(contact))
		before := c.atMost(tenant, o.sent, settle, o)
		if o.status != http.StatusPaymentRequired || !inTouch || float64(before+o.size.atMost()) > fitsInto*float64(t.prepaid) {
			continue
		}
		denied++
		t.log.line("denied: %s at %s, sent at %.3f, although %d of %d tokens were used at the most: %s", o.id, o.node.name, o.sent.Sub(t.log.began).Seconds(), before, t.prepaid, o.detail)
	}
	allowed := 5 + all/500
	total := 0
	for _, o := range c.all {
		total += o.tokens()
	}
	summary := fmt.Sprintf("DENIED: %d of %d requests got a 402 from machines in touch although they fit; %d are allowed. Answers by status: %v. %s received %d of %d tokens",
		denied, all, allowed, others, tenant, total, t.prepaid)
	t.log.line("%s", summary)
	fmt.Println(summary)
	if denied > allowed {
		return fmt.Errorf("%w: DENIED", errBroken)
	}
	return nil
}
