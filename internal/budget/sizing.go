package budget

import "time"

// Demand is what a holder knows when it decides how much to draw. Amounts are tokens.
type Demand struct {
	TypicalSize int64   // size of the larger reservations lately
	Need        int64   // what the waiting reservations lack
	Rate        float64 // tokens a second spent through this holder lately
	Available   int64   // what the holder already has unspent and unreserved
	Free        int64   // what the row can still grant
	Holders     int     // holders on the row, this one among them
}

// SizePolicy decides how much to draw. A result below Need means that the need cannot be met.
type SizePolicy func(Demand) int64

// ByRate draws what the zone will use within the horizon, but leaves the other holders their share of the rest.
//
// Far from exhaustion, grants are long and an outage of the store is survived for the horizon. Near it, each draw
// takes at most 1/(2 x holders) of what is left, so that little is stranded in any one place.
func ByRate(horizon time.Duration) SizePolicy {
	return func(d Demand) int64 {
		if d.Need > d.Free {
			return 0
		}
		full := TargetGrant(d.Rate, d.TypicalSize, horizon)
		share := d.Free / int64(2*max(d.Holders, 1))
		size := min(full-d.Available, share)
		if d.Need == 0 && size < full/smallestTopUp {
			return 0 // too little to be worth a write
		}
		return max(d.Need, size)
	}
}

// smallestTopUp is the part of the horizon's use below which drawing ahead of need is not worth a write.
const smallestTopUp = 8

// PerRequest draws exactly what is needed. It is a baseline for measurements.
func PerRequest() SizePolicy {
	return func(d Demand) int64 {
		if d.Need > d.Free {
			return 0
		}
		return d.Need
	}
}

// EvenSplit gives each of n holders an equal part of the deposit at its first draw and nothing later. It is a baseline.
func EvenSplit(n int) SizePolicy {
	return func(d Demand) int64 {
		if d.Available > 0 || d.Rate > 0 {
			return 0
		}
		left := max(n-d.Holders+1, 1)
		part := d.Free / int64(left)
		if part < d.Need {
			return 0
		}
		return part
	}
}

// The parts of a full grant at which a holder draws ahead of need: by itself, or along with a write of the page that
// happens anyway.
const (
	lowShare   = 0.5
	alongShare = 0.8
	usualTimes = 8 // a full grant covers at least this many usual reservations
)

// TargetGrant is how much a holder wants to have in hand: the horizon's use, or some usual reservations if that is more.
func TargetGrant(rate float64, usual int64, horizon time.Duration) int64 {
	return max(int64(rate*horizon.Seconds()), usualTimes*usual)
}
