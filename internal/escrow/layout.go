package escrow

import (
	"context"
	"errors"
	"fmt"
)

// All holders must distribute the accounts among the same number of pages. On another page an account is unknown, so its
// entire prepaid amount would be granted again. The settings of instances may differ for a while, or change between two
// starts of a process. Therefore the pages state their number, and a holder uses that one. Nothing changes it.

// maxPages limits the number of pages that a holder accepts.
const maxPages = 1024

// errLayout reports that the pages in the store are not as many as this holder uses.
var errLayout = errors.New("the store has another number of pages")

// pageKey returns the key of a page in the store.
func (h *Holder) pageKey(i int) string { return fmt.Sprintf("%s%d", h.prefix, i) }

func (h *Holder) newPage(i int) *pageState {
	return &pageState{key: h.pageKey(i), unconfirmedBase: -1, reported: make(map[string]int64)}
}

// resolveLayout determines the number of pages before this holder first writes one. It reports whether this holder uses
// that number; if not, it does so from the next round on. A follower receives the number from its leader.
func (h *Holder) resolveLayout(ctx context.Context) bool {
	if h.layoutResolved {
		return true
	}
	n, err := h.pagesInUse(ctx)
	if err != nil {
		h.log.Debug().Str("event", "escrow_layout_failed").Err(err).Msg("the number of budget pages could not be read from the store")
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := len(h.pages)
	h.setLayout(n)
	h.layoutResolved = true
	return len(h.pages) == before
}

// pagesInUse returns the number of pages in the store, 0 if there are none. Builds that do not state it in the first page
// have written all their pages together, so it is the number of pages that exist.
func (h *Holder) pagesInUse(ctx context.Context) (int, error) {
	first := h.pages[0]
	if err := h.load(ctx, first); err != nil {
		return 0, err
	}
	h.mu.Lock()
	page, err := DecodePage(first.raw)
	exists := len(first.raw) > 0
	h.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if page.Pages > 0 || !exists {
		return page.Pages, nil
	}
	for n := 1; n < maxPages; n++ {
		entry, err := h.readEntry(ctx, h.pageKey(n))
		if err != nil {
			return 0, err
		}
		if len(entry.Data) == 0 {
			return n, nil
		}
	}
	return maxPages, nil
}

// setLayout makes this holder use another number of pages. The caller holds mu.
func (h *Holder) setLayout(n int) {
	if n == len(h.pages) || n <= 0 || n > maxPages {
		return
	}
	h.log.Warn().Str("event", "escrow_pages_differ").Int("configured", len(h.pages)).Int("in_use", n).
		Msg("the budgets in the store are distributed among another number of pages than the settings give; that number is used")
	list := h.pages[:min(n, len(h.pages)):min(n, len(h.pages))]
	for i := len(list); i < n; i++ {
		list = append(list, h.newPage(i))
	}
	h.pages = list
}

// checkLayout returns an error if a page states another number of pages than this holder uses, which then uses that one
// from its next round on. A page that states none states this holder's. The caller holds mu.
func (h *Holder) checkLayout(page *Page) error {
	if page.Pages == 0 {
		page.Pages = len(h.pages)
	}
	if page.Pages == len(h.pages) {
		return nil
	}
	h.pagesStated = page.Pages
	return errLayout
}

// applyStatedLayout uses the number of pages that the store or a leader has stated since the last round.
func (h *Holder) applyStatedLayout() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pagesStated > 0 {
		h.setLayout(h.pagesStated)
		h.pagesStated = 0
	}
}
