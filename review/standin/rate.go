//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// grownWrites is the store's limit of writing calls a second after the platform has raised it: that of the whole fleet of
// the same customer.
const grownWrites = 3200

// hupShare is the share of the machines that get SIGHUP. The others' files change without a signal.
const hupShare = 0.75

// storeRate changes the settings files: the platform has raised the limit of its store. Then all machines are stopped and
// started in turn. BUDGET: no tenant receives more than its prepaid.
func storeRate(t *trial) error {
	t.callers.press(t.tenants, []size{large}, 16, 6*time.Second, nil)
	t.callers.wg.Wait()
	time.Sleep(2 * time.Second)
	if t.trouble {
		t.log.line("hup: provider.writes_per_s %d becomes %d in all settings files", t.fleet.writes, grownWrites)
		t.fleet.writes = grownWrites
		t.store.mu.Lock()
		t.store.writes, t.store.reads = grownWrites, 5*grownWrites
		t.store.mu.Unlock()
	}
	for i, n := range t.fleet.nodes {
		if err := t.fleet.writeSettings(n, false); err != nil {
			return err
		}
		if float64(i) < hupShare*float64(len(t.fleet.nodes)) {
			t.fleet.hup(n)
		}
	}
	time.Sleep(2 * time.Second)
	if err := t.roll(2 * time.Second); err != nil {
		return err
	}
	time.Sleep(contact)
	for _, x := range t.tenants {
		t.log.line("after the restarts: %s has received %d of %d tokens", x, t.callers.received(x), t.prepaid)
	}
	t.callers.press(t.tenants, []size{large}, 16, 20*time.Second, nil)
	t.callers.wg.Wait()
	return t.checkPrepaid()
}

// checkPrepaid compares what each tenant received with its prepaid.
func (t *trial) checkPrepaid() error {
	over := false
	for _, x := range t.tenants {
		refused := 0
		t.callers.mu.Lock()
		for _, o := range t.callers.all {
			if o.tenant == x && o.status == http.StatusPaymentRequired {
				refused++
			}
		}
		t.callers.mu.Unlock()
		got := t.callers.received(x)
		summary := fmt.Sprintf("BUDGET: %s received %d of %d prepaid tokens; %d requests got a 402", x, got, t.prepaid, refused)
		t.log.line("%s", summary)
		fmt.Println(summary)
		over = over || got > t.prepaid
	}
	if over {
		return fmt.Errorf("%w: BUDGET", errBroken)
	}
	return nil
}
