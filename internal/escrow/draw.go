package escrow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

const (
	joinSpread      = 3                       // gaps over which tries to join are spread, for each of a crowd
	drawAttempts    = 6                       // conflicts in a row before a draw waits for the next beat
	quietRefresh    = 4 * time.Second         // a page on which nothing happens is reported this often
	stoppingHorizon = 2500 * time.Millisecond // while the process is about to stop
)

// Run draws, reports and gives back until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	var last time.Time
	for {
		h.round(ctx, h.startBeat())
		last = h.now()
		if !h.pause(ctx, last) {
			return nil
		}
	}
}

// round brings all pages up to date, by the zone's leader if there is one.
func (h *Holder) round(ctx context.Context, regular bool) {
	if h.fleet != nil && !h.Ready() && !h.fleet.Settled() {
		return
	}
	follows, relays := h.follows(), h.relays()
	switch {
	case follows:
		h.submit(ctx, regular)
	case relays && h.relay(ctx, regular) == nil:
		return
	}
	var pages []*pageState
	for _, p := range h.pages {
		if (!follows && h.due(p, regular)) || h.owes(p) {
			pages = append(pages, p)
		}
	}
	if len(pages) > 0 && ctx.Err() == nil {
		h.draw(ctx, pages...)
	}
}

// owes reports whether rows of others are to be written on a page now.
func (h *Holder) owes(p *pageState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gathered(p) && !h.rests()
}

// rests reports whether a call has failed just now: the next one is not worth its price yet. The caller holds mu.
func (h *Holder) rests() bool { return h.now().Sub(h.failed) < h.times.Backoff }

// pause waits for the next beat or for a request that waits; false means that ctx has ended.
func (h *Holder) pause(ctx context.Context, last time.Time) bool {
	wait, least := h.waits()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	case <-h.kicks:
	}
	gap := time.NewTimer(max(0, least-h.now().Sub(last)))
	defer gap.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-gap.C:
		return true
	}
}

// waits are the longest and the least time until the next round. A holder that has not joined all its pages cannot serve, so it
// tries again soon; not all at the same moment, as after a fault many start at once.
func (h *Holder) waits() (longest, least time.Duration) {
	follows := h.follows()
	h.mu.Lock()
	defer h.mu.Unlock()
	least = h.times.MinGap * h.crowd()
	for _, p := range h.pages {
		if !p.joined && len(h.accounts) > 0 {
			return h.times.MinGap + rand.N(h.times.MinGap*joinSpread*h.crowd()), least
		}
		if len(p.pending) > 0 {
			return h.times.UrgentGatherWindow, least
		}
	}
	if follows {
		return h.times.SubmitInterval, least
	}
	return h.interval() * 3 / 2, least
}

// startBeat begins a round of draws. It reports whether the round is a regular one; between these, only what requests wait for is
// drawn.
func (h *Holder) startBeat() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Sub(h.beat) < h.interval()*8/10 {
		return false
	}
	h.beat = now
	idle := !h.asks()
	h.own.tick(now, idle)
	h.all.tick(now, idle)
	for _, a := range h.accounts {
		a.meter.tick(now, idle)
		a.all.tick(now, idle)
	}
	return true
}

// due reports whether a page has something to report. A page that is not joined or not settled is always due.
func (h *Holder) due(p *pageState, regular bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.joined {
		return len(h.accounts) > 0
	}
	if h.rests() {
		return false
	}
	if p.unsure >= 0 || h.restatesNow(p) {
		return len(h.accounts) > 0
	}
	if p.unsettled && !h.start().FleetTimePending {
		return true
	}
	regular = regular && h.now().Sub(p.drawn) >= h.times.RefreshInterval*6/10
	if regular && h.now().Sub(p.drawn) >= max(quietRefresh, 2*h.interval()) {
		return true
	}
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		reported, ok := p.reported[name]
		if !ok || a.urgent > 0 || (regular && a.used() != reported) {
			return true
		}
	}
	return false
}

// draw brings pages up to date, in one write. Failures leave everything as it was, to be tried at the next beat.
func (h *Holder) draw(ctx context.Context, pages ...*pageState) {
	for range drawAttempts {
		err := h.drawOnce(ctx, pages)
		switch {
		case err == nil:
			return
		case errors.Is(err, external.ErrConflict):
			continue
		}
		h.mu.Lock()
		h.failed = h.now()
		h.mu.Unlock()
		h.log.Debug().Str("event", "escrow_draw_failed").Int("pages", len(pages)).Err(err).Msg("the store did not take a draw")
		return
	}
}

// drawOnce tries one write of pages.
func (h *Holder) drawOnce(ctx context.Context, pages []*pageState) error {
	for _, p := range pages {
		if err := h.load(ctx, p); err != nil {
			return err
		}
	}
	list := make([]write, 0, len(pages))
	for _, p := range pages {
		w, err := h.prepare(p)
		if err != nil {
			h.abandon(list)
			return err
		}
		list = append(list, w)
	}
	return h.write(ctx, list)
}
