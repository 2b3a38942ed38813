package escrow

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// layoutCustomers are so many that each page of any number in these tests has some.
var layoutCustomers = func() []string {
	const n = 12
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, fmt.Sprintf("customer-%d", i))
	}
	return out
}()

// layoutWorld returns a world whose nodes distribute the accounts among a number of pages.
func layoutWorld(pages int) *world {
	w := newWorld(DefaultPolicy())
	w.store.SetEpoch(1)
	w.prepaid = make(map[string]int64)
	for _, c := range layoutCustomers {
		w.prepaid[c] = propertyPrepaid
	}
	w.setPages(pages)
	return w
}

// setPages starts all nodes anew with a number of pages in their settings.
func (w *world) setPages(pages int) {
	w.pages = pages
	for _, n := range w.nodes {
		w.settleAll(n)
		w.start(n)
	}
}

// round makes some rounds of each node's regular work.
func (w *world) round() {
	for range 4 {
		for _, n := range w.nodes {
			n.holder.round(context.Background(), n.holder.startRound())
		}
		w.elapsed += time.Second
	}
}

// spendAllInRounds spends what the nodes get for all customers.
func (w *world) spendAllInRounds(rounds int) {
	for range rounds {
		w.round()
		for _, n := range w.nodes {
			for _, c := range layoutCustomers {
				w.spendAll(n, c)
			}
		}
	}
}

// committed returns the most that all pages together allow to be spent of a customer's budget.
func (w *world) committed(customer string) int64 {
	total := int64(0)
	entries, _, _ := w.store.ReadAll(context.Background(), propertyPrefix)
	for _, e := range entries {
		if p, _ := DecodePage(e.Data); p.Accounts[customer] != nil {
			total += p.Accounts[customer].Committed()
		}
	}
	return total
}

func (w *world) soNothingIsOverspent() {
	for _, c := range layoutCustomers {
		So(w.spent[c], ShouldBeLessThanOrEqualTo, w.prepaid[c])
		So(w.committed(c), ShouldBeLessThanOrEqualTo, w.prepaid[c])
	}
}

// Guards against budgets being granted anew when the settings give another number of pages than the store has.
func TestNumberOfPagesInSettingsChanges(t *testing.T) {
	for _, link := range []int{linkNone, linkUp} {
		for _, change := range []struct{ before, after int }{{1, 3}, {3, 1}, {2, 3}} {
			Convey(fmt.Sprintf("After %d pages and with %d in the settings, link %d,", change.before, change.after, link), t, func() {
				w := layoutWorld(change.before)
				for _, n := range w.nodes {
					n.link = link
				}
				w.spendAllInRounds(4)
				used := make(map[string]int64)
				for c, n := range w.spent {
					used[c] = n
				}

				Convey("the pages in the store stay in use, and what is left of the budgets can be spent", func() {
					w.setPages(change.after)
					w.spendAllInRounds(12)
					w.soNothingIsOverspent()
					for _, c := range layoutCustomers {
						So(w.spent[c], ShouldBeGreaterThan, used[c])
					}
					for _, n := range w.nodes {
						So(n.holder.pages, ShouldHaveLength, change.before)
						So(n.holder.Ready(), ShouldBeTrue)
					}
				})

				Convey("the same if the pages were written by builds that do not state their number", func() {
					entries, _, _ := w.store.ReadAll(context.Background(), propertyPrefix)
					for _, e := range entries {
						p, _ := DecodePage(e.Data)
						p.Pages = 0
						raw, _ := p.Encode()
						w.store.Put(e.Key, raw)
					}
					w.setPages(change.after)
					w.spendAllInRounds(12)
					w.soNothingIsOverspent()
				})

				Convey("the same while only some nodes have the changed settings", func() {
					w.pages = change.after
					w.settleAll(w.nodes[1])
					w.start(w.nodes[1])
					w.spendAllInRounds(12)
					w.soNothingIsOverspent()
					So(w.nodes[1].holder.Ready(), ShouldBeTrue)
				})
			})
		}
	}
}
