package budget

import "time"

// Demand is the input of a SizePolicy. Amounts are tokens.
type Demand struct {
	TypicalSize int64   // size of the larger recent reservations
	Need        int64   // what the reservation that waits for the increase lacks; 0: none waits
	Rate        float64 // tokens per second recently spent through this holder
	Available   int64   // unspent and unreserved tokens of the holder
	Free        int64   // what the row can still grant
	Holders     int     // holders on the row, including this one
}

// SizePolicy decides by how much to increase a grant. A result below Need means that the need cannot be met.
type SizePolicy func(Demand) int64

// ByRate raises a grant to what the zone is expected to use within the horizon, but leaves the other holders their
// share of the rest.
//
// Far from exhaustion, grants are large enough to bridge an outage of the store for the horizon. Near exhaustion,
// each increase takes at most 1/(2 x holders) of the free tokens, unless more is needed at once, so that few tokens
// remain unused at any one holder.
func ByRate(horizon time.Duration) SizePolicy {
	return func(d Demand) int64 {
		if d.Need > d.Free {
			return 0
		}
		target := TargetGrant(d.Rate, d.TypicalSize, horizon)
		share := d.Free / int64(2*max(d.Holders, 1))
		size := min(target-d.Available, share)
		if d.Need == 0 && size < target/minTopUpDivisor {
			return 0 // too little to be worth a write
		}
		return max(d.Need, size)
	}
}

// minTopUpDivisor sets the smallest increase ahead of need: one below 1/minTopUpDivisor of the target grant is not
// worth a write.
const minTopUpDivisor = 8

// PerRequest raises a grant by exactly what is needed. It is a baseline for measurements.
func PerRequest() SizePolicy {
	return func(d Demand) int64 {
		if d.Need > d.Free {
			return 0
		}
		return d.Need
	}
}

// EvenSplit grants each of n holders an equal part of the deposit with its first increase and nothing later. It is a
// baseline for measurements.
func EvenSplit(n int) SizePolicy {
	return func(d Demand) int64 {
		if d.Available > 0 || d.Rate > 0 {
			return 0
		}
		remainingHolders := max(n-d.Holders+1, 1)
		share := d.Free / int64(remainingHolders)
		if share < d.Need {
			return 0
		}
		return share
	}
}

// Shares of the target grant below which a holder increases its grant ahead of need: topUpShare with a write of its
// own, piggybackShare along with a write of the page that happens anyway.
const (
	topUpShare             = 0.5
	piggybackShare         = 0.8
	minTypicalReservations = 8 // a target grant covers at least this many typical reservations
)

// TargetGrant returns how much escrow a holder aims to have available: the use within the horizon, or several typical
// reservations if that is more.
func TargetGrant(rate float64, typicalSize int64, horizon time.Duration) int64 {
	return max(int64(rate*horizon.Seconds()), minTypicalReservations*typicalSize)
}
