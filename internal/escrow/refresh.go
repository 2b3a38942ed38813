package escrow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

const (
	joinSpread      = 3                       // attempts to join are spread over this many gaps, times fleetSizeFactor
	refreshAttempts = 6                       // successive conflicts before a refresh waits for the next round
	idleRefresh     = 4 * time.Second         // an idle page is reported this often
	stoppingHorizon = 2500 * time.Millisecond // horizon of grants while the process is about to stop
)

// Run refreshes the holder's grants until ctx ends: it reports use, requests tokens and returns those not needed.
func (h *Holder) Run(ctx context.Context) error {
	var last time.Time
	for {
		h.round(ctx, h.startRound())
		last = h.now()
		if !h.pause(ctx, last) {
			return nil
		}
	}
}

// round refreshes all pages that are due, through the zone's leader if there is one.
func (h *Holder) round(ctx context.Context, regular bool) {
	if h.retired() || (h.fleet != nil && !h.Ready() && !h.fleet.Settled()) {
		return
	}
	h.applyStatedLayout()
	if h.isDormant() {
		h.refreshDormant(ctx)
		return
	}
	h.activate()
	follower, relay := h.isFollower(), h.isRelay()
	switch {
	case follower:
		h.submit(ctx, regular)
	case relay && h.relay(ctx, regular) == nil:
		return
	}
	var pages []*pageState
	for _, p := range h.pages {
		if (!follower && h.refreshDue(p, regular)) || h.groupWriteDue(p) {
			pages = append(pages, p)
		}
	}
	if len(pages) > 0 && ctx.Err() == nil && h.resolveLayout(ctx) {
		h.refresh(ctx, pages...)
	}
}

// groupWriteDue reports whether rows of other holders are to be written to a page now.
func (h *Holder) groupWriteDue(p *pageState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groupReady(p) && !h.backingOff()
}

// backingOff reports whether a call has failed so recently that the next one is not worth its cost yet. The caller
// holds mu.
func (h *Holder) backingOff() bool { return h.now().Sub(h.lastFailure) < h.times.Backoff }

// pause waits for the next round, or for a request that needs one. It returns false if ctx has ended.
func (h *Holder) pause(ctx context.Context, last time.Time) bool {
	wait, shortest := h.waitBounds()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	case <-h.wakeups:
	}
	gap := time.NewTimer(max(0, shortest-h.now().Sub(last)))
	defer gap.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-gap.C:
		return true
	}
}

// waitBounds returns the longest and the shortest time until the next round. A holder that has not joined all its pages
// cannot serve, so it tries again soon. The time is random, since many holders may start at once after a fault.
func (h *Holder) waitBounds() (longest, shortest time.Duration) {
	follower, dormant := h.isFollower(), h.isDormant()
	h.mu.Lock()
	defer h.mu.Unlock()
	if dormant && h.readyWithoutRows {
		return h.times.SubmitInterval, h.times.SubmitInterval
	}
	shortest = h.times.MinGap * h.fleetSizeFactor()
	for _, p := range h.pages {
		if !p.joined && len(h.accounts) > 0 {
			return h.times.MinGap + rand.N(h.times.MinGap*joinSpread*h.fleetSizeFactor()), shortest
		}
		if len(p.pending) > 0 {
			return h.times.UrgentGatherWindow, shortest
		}
	}
	if follower {
		return h.times.SubmitInterval, shortest
	}
	return h.refreshInterval() * 3 / 2, shortest
}

// startRound begins a round of refreshes and reports whether it is a regular one. Other rounds refresh only what
// requests wait for.
func (h *Holder) startRound() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Sub(h.lastRefresh) < h.refreshInterval()*8/10 {
		return false
	}
	h.lastRefresh = now
	idle := !h.hasDemand()
	h.localMeter.tick(now, idle)
	h.fleetMeter.tick(now, idle)
	for _, a := range h.accounts {
		a.meter.tick(now, idle)
		a.fleetMeter.tick(now, idle)
	}
	return true
}

// refreshDue reports whether there is something to report on a page. A page is always due until it is joined and its
// earlier rows are settled.
func (h *Holder) refreshDue(p *pageState, regular bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.joined {
		return len(h.accounts) > 0
	}
	if h.backingOff() {
		return false
	}
	if p.unconfirmedBase >= 0 || h.restateDue(p) {
		return len(h.accounts) > 0
	}
	if p.unsettled && !h.startReport().FleetTimePending {
		return true
	}
	regular = regular && h.now().Sub(p.refreshedAt) >= h.times.RefreshInterval*6/10
	if regular && h.now().Sub(p.refreshedAt) >= max(idleRefresh, 2*h.refreshInterval()) {
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

// refresh brings pages up to date in one write. A failure changes nothing; the next round tries again.
func (h *Holder) refresh(ctx context.Context, pages ...*pageState) {
	for range refreshAttempts {
		err := h.refreshOnce(ctx, pages)
		switch {
		case err == nil:
			return
		case errors.Is(err, external.ErrConflict):
			continue
		case errors.Is(err, errEnded), errors.Is(err, errLayout):
			return
		}
		h.mu.Lock()
		h.lastFailure = h.now()
		h.mu.Unlock()
		h.log.Debug().Str("event", "escrow_draw_failed").Int("pages", len(pages)).Err(err).Msg("the store did not accept a refresh of budget pages")
		return
	}
}

// refreshOnce makes one attempt to write pages.
func (h *Holder) refreshOnce(ctx context.Context, pages []*pageState) error {
	for _, p := range pages {
		if err := h.load(ctx, p); err != nil {
			return err
		}
	}
	list := make([]pageWrite, 0, len(pages))
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
