package load

import (
	"cmp"
	"math"
	"time"

	"github.com/ledgemount/ledgemount/internal/pool"
)

// A leader sends a digest to each instance of its zone twice a second, and may do so over a small link, so it is short. Flows are told in whole
// thousandths a second.
const (
	flowSteps = 1000 // of a flow of one a second
	mostLines = 300  // endpoints of a digest; those with the least under way are left out

	mostAge = 24 * time.Hour // of a word; what claims to be older cannot be right
)

// line is what some instances have under way at one endpoint.
type line struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // as in pool.Loads
	Open     int
	Harm     int // this and the next two as in pool.Load, in thousandths a second
	Ended    int
	Failed   int
	Silent   int // requests, as in pool.Load
}

// digest is what some instances have under way.
type digest struct {
	Lines []line `cbor:"1,keyasint,omitempty"`
	Rider []byte `cbor:"2,keyasint,omitempty"` // what a Rider tells
	// Leaving reports endpoints that have said in answers that they leave; a build that does not know it passes it over
	Leaving []leaving `cbor:"3,keyasint,omitempty"`
	// Limits, Asks and Grants tell of endpoints' limits, and divide them; likewise
	Limits []named `cbor:"4,keyasint,omitempty"`
	Asks   []ask   `cbor:"5,keyasint,omitempty"`
	Grants []grant `cbor:"6,keyasint,omitempty"`
}

// leaving is an endpoint's word that it leaves.
type leaving struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // as in pool.Loads
	AgeMs    int64    // since it said so
}

// pack writes a report down, as far as it is worth it.
func pack(r report, now time.Time) digest {
	return digest{Lines: packLoads(r.loads), Leaving: packLeaving(r.leaving), Limits: packLimits(r.limits, now)}
}

func packLoads(loads pool.Loads) []line {
	lines := make([]line, 0, len(loads))
	for key, x := range loads {
		l := line{Endpoint: key, Open: x.Open, Harm: steps(x.Interference), Ended: steps(x.Ended), Failed: steps(x.Failed), Silent: x.Silent}
		if l.Open+l.Harm+l.Ended+l.Failed > 0 {
			lines = append(lines, l)
		}
	}
	return capped(lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}

// packLeaving writes down which endpoints leave; of too many those that have said so last.
func packLeaving(l pool.Leaving) []leaving {
	out := make([]leaving, 0, len(l))
	for key, age := range l {
		out = append(out, leaving{Endpoint: key, AgeMs: age.Milliseconds()})
	}
	return capped(out, func(a, b leaving) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
}

// unpack reads a report that came at a moment.
func (d digest) unpack(now time.Time) report {
	out := report{loads: make(pool.Loads, len(d.Lines)), leaving: make(pool.Leaving, len(d.Leaving)), limits: unpackLimits(d.Limits, now)}
	for _, l := range d.Lines {
		out.loads[l.Endpoint] = pool.Load{
			Open: l.Open, Interference: float64(l.Harm) / flowSteps, Ended: float64(l.Ended) / flowSteps, Failed: float64(l.Failed) / flowSteps, Silent: l.Silent,
		}
	}
	for _, l := range d.Leaving {
		if l.AgeMs >= 0 && l.AgeMs <= mostAge.Milliseconds() {
			out.leaving[l.Endpoint] = time.Duration(l.AgeMs) * time.Millisecond
		}
	}
	return out
}

// minus takes the parts of one instance out of lines that they are a part of.
func minus(lines, parts []line) []line {
	if len(parts) == 0 {
		return lines
	}
	byEndpoint := make(map[uint32]line, len(parts))
	for _, p := range parts {
		byEndpoint[p.Endpoint] = p
	}
	out := make([]line, len(lines))
	for i, l := range lines {
		p := byEndpoint[l.Endpoint]
		out[i] = line{
			Endpoint: l.Endpoint, Open: max(0, l.Open-p.Open), Harm: max(0, l.Harm-p.Harm), Ended: max(0, l.Ended-p.Ended),
			Failed: max(0, l.Failed-p.Failed), Silent: max(0, l.Silent-p.Silent),
		}
	}
	return out
}

// weight is how much a line matters for picks, about.
func (l line) weight() int { return (l.Open+l.Silent)*flowSteps + l.Harm + l.Failed }

func steps(perSecond float64) int { return int(math.Round(perSecond * flowSteps)) }
