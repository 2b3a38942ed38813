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
	sweepFactor    = 2 // the zone's journals are listed every DeadTimeout/sweepFactor
	fenceRetention = time.Minute
	fenceTimeout   = time.Second
)

// fenceState is what this holder has observed of a holder that it may reclaim.
type fenceState struct {
	seq            uint64
	unchangedSince time.Time // time of the last observed change of the journal
	clearedAt      time.Time // start of the current period in which the holder has no grant
}

// InstanceOf returns the incarnation id of the instance that a holder id belongs to, in the form of
// mesh.Peer.IncarnationID.
func InstanceOf(holder string) string {
	id, _, _ := strings.Cut(holder, genSeparator)
	return id
}

// sweepIfDue resolves the unreported charges of ended incarnations, and looks for dead holders of the zone if this instance reclaims
// them. It does so once in a sweep interval.
func (h *Holder) sweepIfDue(ctx context.Context) {
	now := h.now()
	h.mu.Lock()
	due := now.Sub(h.sweptAt) >= h.times.DeadTimeout/sweepFactor
	if due {
		h.sweptAt = now
	}
	h.mu.Unlock()
	if !due {
		return
	}
	if err := h.reportStored(ctx); err != nil {
		h.log.Debug().Str("event", "charges_unresolved").Err(err).Msg("charges of an ended incarnation stay unreported for now")
	}
	if !h.isReclaimer() {
		return
	}
	if err := h.Sweep(ctx); err != nil {
		h.log.Debug().Str("event", "sweep_failed").Err(err).Msg("sweep for dead holders failed")
	}
}

// isReclaimer reports whether this instance is the one that reclaims the zone's dead holders. Reclaiming stays correct
// if two instances do it at the same time.
func (h *Holder) isReclaimer() bool {
	self := h.members.Self()
	p, ok := member.Top("janitor", h.members.Zone(), "")
	return ok && p.ID == self.ID
}

// Sweep lists the zone's journals and reclaims the holders that are dead.
func (h *Holder) Sweep(ctx context.Context) error {
	ctx = external.WithDuty(ctx, external.DutyReclaim)
	entries, err := h.store.List(ctx, ledger.Prefix+h.members.Self().Zone+"/")
	if err != nil {
		return eris.Wrap(err, "listing journals")
	}
	for _, e := range entries {
		j, err := ledger.Decode(e.Data)
		if err != nil {
			return err
		}
		if !h.isDead(j) {
			continue
		}
		if err := h.Reclaim(ctx, e, j); err != nil {
			h.log.Warn().Str("event", "reclaim_waits").Str("holder", j.Holder).Err(err).Msg("cannot reclaim a dead holder's escrow; the next sweep tries again")
		}
	}
	return nil
}

// isDead reports whether a holder is dead: it is fenced already, or its instance is not alive and its journal has not
// changed for DeadTimeout.
func (h *Holder) isDead(j *ledger.Journal) bool {
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
	if f.seq != j.Seq || f.unchangedSince.IsZero() {
		f.seq, f.unchangedSince = j.Seq, now
	}
	if j.Fenced != "" {
		return true
	}
	if InstanceOf(j.Holder) == h.members.Self().IncarnationID() {
		return true // an earlier incarnation of this instance
	}
	return !h.members.Alive(InstanceOf(j.Holder)) && now.Sub(f.unchangedSince) >= h.times.DeadTimeout
}

// Reclaim takes over a dead holder: it fences the holder's journal, collects the reports of all its clients and moves
// its grants. Any instance can repeat it at any point.
func (h *Holder) Reclaim(ctx context.Context, e external.Entry, j *ledger.Journal) error {
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
	reports, err := h.collectReports(ctx, j)
	if err != nil {
		return err
	}
	grantsLeft := false
	for _, n := range j.Pages {
		moved, err := h.reclaimPage(ctx, n, j, reports)
		if err != nil {
			return eris.Wrapf(err, "reclaiming page %d", n)
		}
		grantsLeft = grantsLeft || moved
	}
	return h.finishReclaim(ctx, j, grantsLeft)
}

func (h *Holder) fenceJournal(ctx context.Context, e external.Entry, j *ledger.Journal) error {
	j.Fenced = h.ID()
	data, err := j.Encode()
	if err != nil {
		return err
	}
	_, err = h.store.Put(ctx, e.Key, data, e.Revision, 0)
	if !errors.Is(err, external.ErrAmbiguous) {
		return err
	}
	reread, err := h.store.Get(ctx, e.Key)
	if err != nil {
		return err
	}
	current, err := ledger.Decode(reread.Data)
	if err != nil {
		return err
	}
	if current.Fenced == "" {
		return eris.Wrap(external.ErrAmbiguous, "the fence may not have been written")
	}
	*j = *current
	return nil
}

// collectReports requests the reports of all clients of the dead holder. All must respond, unless an operator has
// released them: a client that does not respond may still spend.
func (h *Holder) collectReports(ctx context.Context, j *ledger.Journal) ([]Report, error) {
	seen := make(map[string]bool)
	var out []Report
	for _, id := range j.Clients {
		reports, err := h.requestReports(ctx, id, j.Holder)
		if err != nil {
			if h.isReleased(j.Holder, id) {
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

func (h *Holder) requestReports(ctx context.Context, id, holder string) ([]Report, error) {
	p, ok := h.members.Find(id)
	if !ok {
		return nil, eris.New("its address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	req := FenceReq{Client: id, Holder: holder, Successor: h.ID(), Peer: h.members.Self()}
	resp, err := mesh.Call[FenceReq, FenceResp](ctx, h.caller, p.Addr, KindFence, req)
	if err == nil && resp.Client != id {
		err = eris.New("its process has been replaced")
	}
	return resp.Reports, err
}

// isReleased reports whether an operator has confirmed that a client can no longer spend anything from a holder.
func (h *Holder) isReleased(holder, client string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releases[Release{Holder: holder, Client: client}]
}

// Release is an operator's confirmation that a client will never use a reservation of a holder.
type Release struct {
	Holder string `cbor:"1,keyasint" json:"holder"`
	Client string `cbor:"2,keyasint" json:"client"`
}

// SetReleases replaces the confirmed releases.
func (h *Holder) SetReleases(rs []Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releases = make(map[Release]bool, len(rs))
	for _, r := range rs {
		h.releases[r] = true
	}
}
