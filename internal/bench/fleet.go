package bench

import (
	"context"
	"fmt"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// fixedMembers is a view of the fleet that never changes.
type fixedMembers struct {
	self mesh.Peer
	zone []mesh.Peer
}

func (m fixedMembers) Self() mesh.Peer               { return m.self }
func (m fixedMembers) Zone() []mesh.Peer             { return m.zone }
func (m fixedMembers) Fleet() []mesh.Peer            { return m.zone }
func (m fixedMembers) Alive(string) bool             { return true }
func (m fixedMembers) Lost(string) bool              { return false }
func (m fixedMembers) Find(string) (mesh.Peer, bool) { return mesh.Peer{}, false }

// noStopper is a budget.Stopper that does nothing.
type noStopper struct{}

// StopRun implements budget.Stopper.
func (noStopper) StopRun(context.Context, budget.Place) (int64, bool, bool, error) {
	return 0, false, false, nil
}

// peersOf returns n instances of a zone.
func peersOf(zone string, n int) []mesh.Peer {
	out := make([]mesh.Peer, n)
	for i := range out {
		out[i] = mesh.Peer{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Addr: fmt.Sprintf("%s-%d", zone, i), Incarnation: "x"}
	}
	return out
}

func budgetID(i int) string { return fmt.Sprintf("budget-%06d", i) }

const (
	benchCustomer = "customer-000"
	benchDeposit  = 100_000_000
)

// fillPages writes n budgets to the store and returns the average size of a row in bytes.
func fillPages(ctx context.Context, store external.Store, n int) (bytesPerRow float64, err error) {
	pages := make(map[uint16]*budget.Page)
	for i := range n {
		id := budgetID(i)
		p := budget.PageOf(id)
		if pages[p] == nil {
			pages[p] = &budget.Page{}
		}
		row := &budget.Row{Customer: benchCustomer}
		if err := row.Deposit("opening", benchDeposit); err != nil {
			return 0, err
		}
		pages[p].Put(id, row)
	}
	total := 0
	for p, page := range pages {
		data, err := page.Encode()
		if err != nil {
			return 0, err
		}
		total += len(data)
		if _, err := store.Put(ctx, budget.PageKey(p), data, 0, 0); err != nil {
			return 0, err
		}
	}
	return float64(total) / float64(n), nil
}
