package budget

import (
	"context"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
)

// View is a budget as stored. Amounts are tokens.
type View struct {
	Budget    string           `json:"budget"`
	Customer  string           `json:"customer"`
	Deposits  map[string]int64 `json:"deposits"`
	Deposited int64            `json:"deposited"`
	Spent     int64            `json:"spent"`   // charges that have reached the store
	Granted   int64            `json:"granted"` // escrow granted to holders, spent or not
	Free      int64            `json:"free"`    // not granted to anyone
	Holders   []HolderView     `json:"holders"`
}

// HolderView is one holder's part of a budget.
type HolderView struct {
	Holder  string `json:"holder"`
	Granted int64  `json:"granted"`
	Spent   int64  `json:"spent"`
	Fenced  bool   `json:"fenced"` // being taken over; unspent tokens stay reserved until every client has reported
}

// Journals reads all holders' journals, keyed by holder.
func Journals(ctx context.Context, store external.Store) (map[string]*ledger.Journal, error) {
	entries, err := store.List(ctx, ledger.Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "listing journals")
	}
	out := make(map[string]*ledger.Journal, len(entries))
	for _, e := range entries {
		j, err := ledger.Decode(e.Data)
		if err != nil {
			return nil, err
		}
		out[j.Holder] = j
	}
	return out, nil
}

// Inspect reads a budget, including charges that are so far only in its holders' journals.
func Inspect(ctx context.Context, store external.Store, budget string) (*View, error) {
	ctx = external.WithDuty(ctx, external.DutyAudit)
	js, err := Journals(ctx, store)
	if err != nil {
		return nil, err
	}
	e, err := store.Get(ctx, PageKey(PageOf(budget)))
	if err != nil {
		return nil, err
	}
	page, err := DecodePage(e)
	if err != nil {
		return nil, err
	}
	row, err := page.Row(budget)
	if err != nil {
		return nil, err
	}
	return ViewOf(budget, row, js), nil
}

// ViewOf builds a view from a row and the journals.
func ViewOf(budget string, row *Row, js map[string]*ledger.Journal) *View {
	v := &View{
		Budget: budget, Customer: row.Customer, Deposits: row.Deposits, Deposited: row.Deposited(), Spent: row.Closed, Free: row.Free(),
	}
	for _, holder := range row.Holders() {
		g := row.Grants[holder]
		hv := HolderView{Holder: holder, Granted: g.Granted, Spent: g.Settled}
		if j, ok := js[holder]; ok {
			hv.Spent = max(hv.Spent, j.Settled[budget])
			hv.Fenced = j.Fenced != ""
		}
		v.Spent += hv.Spent
		v.Granted += hv.Granted
		v.Holders = append(v.Holders, hv)
	}
	return v
}

// FencedHolderView is a fenced holder whose escrow has not been released, and the clients that have to report.
type FencedHolderView struct {
	Holder    string   `json:"holder"`
	Zone      string   `json:"zone"`
	Successor string   `json:"successor"`
	Clients   []string `json:"clients"`
	Held      int64    `json:"held_tokens"` // unspent escrow on all its budgets
}

// FencedHolders lists the fenced holders whose escrow has not been released.
func FencedHolders(ctx context.Context, store external.Store) ([]FencedHolderView, error) {
	ctx = external.WithDuty(ctx, external.DutyAudit)
	js, err := Journals(ctx, store)
	if err != nil {
		return nil, err
	}
	out := []FencedHolderView{}
	for _, j := range js {
		if j.Fenced == "" {
			continue
		}
		held, err := heldTokens(ctx, store, j)
		if err != nil {
			return nil, err
		}
		out = append(out, FencedHolderView{Holder: j.Holder, Zone: j.Zone, Successor: j.Fenced, Clients: j.Clients, Held: held})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Holder < out[j].Holder })
	return out, nil
}

func heldTokens(ctx context.Context, store external.Store, j *ledger.Journal) (int64, error) {
	var held int64
	for _, n := range j.Pages {
		e, err := store.Get(ctx, PageKey(n))
		if err != nil {
			return 0, err
		}
		page, err := DecodePage(e)
		if err != nil {
			return 0, err
		}
		for _, budget := range page.Budgets() {
			row, err := page.Row(budget)
			if err != nil {
				return 0, err
			}
			if g, ok := row.Grants[j.Holder]; ok {
				held += g.Granted - max(g.Settled, j.Settled[budget])
			}
		}
	}
	return held, nil
}
