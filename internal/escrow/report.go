package escrow

import "time"

// fleetTimeWait is how long a new process waits for the fleet's time before it settles earlier rows without it.
const fleetTimeWait = 3 * time.Second

// report returns what this holder states about itself in a write.
func (h *Holder) report(now time.Duration, count int64) Report {
	low, _ := h.fleetTime()
	return Report{Node: h.node, Boot: h.clock.Boot(), Clock: now.Milliseconds(), Wall: h.wall().UnixMilli(), Count: count, FleetTime: low, Epoch: h.epochs.Current()}
}

// fleetTime returns bounds of the fleet's time in ms; 0 if unknown.
func (h *Holder) fleetTime() (low, high int64) {
	if h.fleet == nil {
		return 0, 0
	}
	b, ok := h.fleet.Time()
	if !ok {
		return 0, 0
	}
	return b.Low.UnixMilli(), b.High.UnixMilli()
}

// startReport returns the report of this process's start. The fleet's time at the start is the current one less the
// time since, by the steady clock.
func (h *Holder) startReport() Report {
	r := h.started
	age := h.clock.Now() - time.Duration(r.Clock)*time.Millisecond
	if _, high := h.fleetTime(); high != 0 {
		r.FleetTime = high - age.Milliseconds()
		return r
	}
	r.FleetTimePending = h.fleet != nil && age < fleetTimeWait
	return r
}

// reportSettlements logs the settlements of earlier holders' grants and passes them to the callback.
func (h *Holder) reportSettlements(list []Settlement, page string) {
	for _, s := range list {
		h.onSettlement(s)
		h.log.Info().Str("event", "escrow_settled").Str("holder", s.Holder).Str("page", page).Bool("age_known", s.AgeKnown).
			Int64("age_ms", s.Age.Milliseconds()).Int64("spent", s.Spent).Int64("granted", s.Granted).Int64("settled", s.Settled).
			Int64("demand", s.Demand).Int64("unproven", s.Unproven()).
			Int64("unproven_burst", s.Burst).Int64("unproven_accrued", s.Accrued).Int64("unproven_whole", s.Whole).
			Msg("settled the grants of an earlier process")
	}
}
