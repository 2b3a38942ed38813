package budget

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
)

const (
	sweepFactor  = 2 // the zone's journals are listed every Dead/sweepFactor
	fenceKeep    = time.Minute
	fenceTimeout = time.Second
)

// fenceState is what this holder knows of a holder that it may reclaim.
type fenceState struct {
	seq       uint64
	unchanged time.Time // since when the journal has not changed
	cleared   time.Time // when no grant of it was left for the first time
}

// InstanceOf is the process behind a holder id, named as by mesh.Peer.Who.
func InstanceOf(holder string) string {
	id, _, _ := strings.Cut(holder, genSeparator)
	return id
}

// reclaimDue looks for dead holders of the zone, if that is this instance's duty and the time has come.
func (h *Home) reclaimDue(ctx context.Context) {
	now := h.now()
	h.mu.Lock()
	due := now.Sub(h.sweptAt) >= h.times.Dead/sweepFactor
	if due {
		h.sweptAt = now
	}
	h.mu.Unlock()
	if !due || !h.isJanitor() {
		return
	}
	if err := h.Sweep(ctx); err != nil {
		h.log.Debug().Str("event", "sweep_failed").Err(err).Msg("dead holders not looked for")
	}
}

// isJanitor reports whether this instance has the zone's duty of reclaiming. Two that both think so do no harm.
func (h *Home) isJanitor() bool {
	self := h.members.Self()
	p, ok := member.Top("janitor", h.members.Zone(), "")
	return ok && p.ID == self.ID
}

// Sweep lists the zone's journals and reclaims the holders that are dead.
func (h *Home) Sweep(ctx context.Context) error {
	ctx = external.WithDuty(ctx, external.DutyReclaim)
	es, err := h.store.List(ctx, ledger.Prefix+h.members.Self().Zone+"/")
	if err != nil {
		return eris.Wrap(err, "listing journals")
	}
	for _, e := range es {
		j, err := ledger.Decode(e.Data)
		if err != nil {
			return err
		}
		if !h.dead(j) {
			continue
		}
		if err := h.Reclaim(ctx, e, j); err != nil {
			h.log.Warn().Str("event", "reclaim_waits").Str("holder", j.Holder).Err(err).Msg("a dead holder's escrow stays held")
		}
	}
	return nil
}

// dead judges a holder: fenced already, or unheard of while its journal has stood still.
func (h *Home) dead(j *ledger.Journal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j.Holder == h.holder {
		return false
	}
	f, ok := h.fences[j.Holder]
	if !ok {
		f = &fenceState{}
		h.fences[j.Holder] = f
	}
	now := h.now()
	if f.seq != j.Seq || f.unchanged.IsZero() {
		f.seq, f.unchanged = j.Seq, now
	}
	if j.Fenced != "" {
		return true
	}
	if InstanceOf(j.Holder) == h.members.Self().IncarnationID() {
		return true // an earlier incarnation of this very instance
	}
	return !h.members.Alive(InstanceOf(j.Holder)) && now.Sub(f.unchanged) >= h.times.Dead
}

// Reclaim takes over a dead holder: fence its journal, collect the reports of all its clients, move its grants.
// It can be repeated at any point by any instance.
func (h *Home) Reclaim(ctx context.Context, e external.Entry, j *ledger.Journal) error {
	if err := h.hook(ctx, step.Reclaim); err != nil {
		return err
	}
	if j.Fenced == "" {
		if err := h.fenceJournal(ctx, e, j); err != nil {
			return eris.Wrap(err, "fencing the journal")
		}
	}
	if err := h.writeJournal(ctx, "", nil); err != nil {
		return eris.Wrap(err, "writing this holder's journal")
	}
	reports, err := h.collect(ctx, j)
	if err != nil {
		return err
	}
	left := false
	for _, n := range j.Pages {
		moved, err := h.reclaimPage(ctx, n, j, reports)
		if err != nil {
			return eris.Wrapf(err, "reclaiming page %d", n)
		}
		left = left || moved
	}
	return h.finishReclaim(ctx, j, left)
}

func (h *Home) fenceJournal(ctx context.Context, e external.Entry, j *ledger.Journal) error {
	j.Fenced = h.Holder()
	data, err := j.Encode()
	if err != nil {
		return err
	}
	_, err = h.store.Put(ctx, e.Key, data, e.Revision, 0)
	if !errors.Is(err, external.ErrAmbiguous) {
		return err
	}
	back, err := h.store.Get(ctx, e.Key)
	if err != nil {
		return err
	}
	now, err := ledger.Decode(back.Data)
	if err != nil {
		return err
	}
	if now.Fenced == "" {
		return eris.Wrap(external.ErrAmbiguous, "the fence may not stand")
	}
	*j = *now
	return nil
}

// collect asks every client of the dead holder. All must answer: one that does not may still spend.
func (h *Home) collect(ctx context.Context, j *ledger.Journal) ([]Report, error) {
	seen := make(map[string]bool)
	var out []Report
	for _, id := range j.Clients {
		reports, err := h.ask(ctx, id, j.Holder)
		if err != nil {
			if h.excused(j.Holder, id) {
				continue
			}
			return nil, eris.Wrapf(err, "client %s has not reported", id)
		}
		for _, r := range reports {
			if !seen[r.Request] || r.Open {
				out = append(out, r)
			}
			seen[r.Request] = true
		}
	}
	return out, nil
}

func (h *Home) ask(ctx context.Context, id, holder string) ([]Report, error) {
	p, ok := h.members.Find(id)
	if !ok {
		return nil, eris.New("its address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	req := FenceReq{Client: id, Holder: holder, Successor: h.Holder(), Peer: h.members.Self()}
	resp, err := mesh.Call[FenceReq, FenceResp](ctx, h.caller, p.Addr, KindFence, req)
	if err == nil && resp.Client != id {
		err = eris.New("its process has been replaced")
	}
	return resp.Reports, err
}

// excused reports whether an operator has confirmed that a client of a holder can spend nothing any more.
func (h *Home) excused(holder, client string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releases[Release{Holder: holder, Client: client}]
}

// Release is an operator's confirmed word that a client will never use a reservation of a holder.
type Release struct {
	Holder string `cbor:"1,keyasint" json:"holder"`
	Client string `cbor:"2,keyasint" json:"client"`
}

// SetReleases replaces the confirmed releases.
func (h *Home) SetReleases(rs []Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releases = make(map[Release]bool, len(rs))
	for _, r := range rs {
		h.releases[r] = true
	}
}
