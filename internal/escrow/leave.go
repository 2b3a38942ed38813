package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Leave returns everything unspent and removes the holder from every page. It retries until ctx ends. From its start on,
// nothing more is reserved, and Run writes nothing more.
func (h *Holder) Leave(ctx context.Context) error {
	h.mu.Lock()
	h.leaving = true
	pages := h.pages
	for _, p := range pages {
		h.closeAccounts(p)
	}
	h.mu.Unlock()
	if h.isDormant() {
		return nil
	}
	ctx = external.WithFinalCall(ctx)
	for _, p := range pages {
		for {
			err := h.leaveOnce(ctx, p)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return eris.Wrapf(err, "returning the grants on %s", p.key)
			}
			if !errors.Is(err, external.ErrConflict) {
				time.Sleep(h.times.MinGap)
			}
		}
	}
	return nil
}

func (h *Holder) leaveOnce(ctx context.Context, p *pageState) error {
	if err := h.load(ctx, p); err != nil {
		return err
	}
	h.mu.Lock()
	page, err := DecodePage(p.raw)
	if err == nil {
		page, _, err = p.writeBase(page)
	}
	if err != nil {
		h.mu.Unlock()
		return err
	}
	restates := h.mustRestate(p)
	_, held := page.Holders[h.id]
	mayAppear := p.submitted || p.unconfirmedBase >= 0 // an earlier write, or a leader's, may still add the holder
	if h.noteEnded(p, page, p.revision) || (!held && !restates && !mayAppear) {
		h.mu.Unlock()
		return nil
	}
	page.enterEpoch(h.epochs.Current(), h.wall(), p.joined)
	spent, rows := make(map[string]int64, len(h.accounts)), make(map[string]issuedRow, len(h.accounts))
	for name, a := range h.accounts {
		if h.pageOf(name) == p {
			spent[name], rows[name] = a.used(), issuedRow{}
			a.unconfirmed = append(a.unconfirmed, rows[name])
		}
	}
	page.Leave(h.id, spent, restates, h.wall().UnixMilli())
	raw, err := page.Encode()
	p.unconfirmedBase = p.revision
	w := pageWrite{state: p, raw: raw, page: page, base: p.revision, rows: rows, ends: true}
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.write(ctx, []pageWrite{w})
}
