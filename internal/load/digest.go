package load

import (
	"cmp"
	"math"
	"slices"

	"github.com/ledgemount/ledgemount/internal/pool"
)

// A leader sends a digest to each instance of its zone twice a second, and may do so over a small link, so it is short: 140 endpoints are
// 2.3 KB. Flows are told in whole thousandths a second.
const (
	flowSteps = 1000 // of a flow of one a second
	mostLines = 300  // endpoints of a digest; those with the least under way are left out
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
}

// pack writes loads down, as far as they are worth it.
func pack(loads pool.Loads) digest {
	d := digest{Lines: make([]line, 0, len(loads))}
	for key, x := range loads {
		l := line{Endpoint: key, Open: x.Open, Harm: steps(x.Harm), Ended: steps(x.Ended), Failed: steps(x.Failed), Silent: x.Silent}
		if l.Open+l.Harm+l.Ended+l.Failed > 0 {
			d.Lines = append(d.Lines, l)
		}
	}
	if len(d.Lines) > mostLines {
		slices.SortFunc(d.Lines, func(a, b line) int {
			return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		d.Lines = d.Lines[:mostLines]
	}
	return d
}

// weight is how much a line matters for picks, about.
func (l line) weight() int { return (l.Open+l.Silent)*flowSteps + l.Harm + l.Failed }

func steps(perSecond float64) int { return int(math.Round(perSecond * flowSteps)) }

// unpack reads loads.
func (d digest) unpack() pool.Loads {
	out := make(pool.Loads, len(d.Lines))
	for _, l := range d.Lines {
		out[l.Endpoint] = pool.Load{
			Open: l.Open, Harm: float64(l.Harm) / flowSteps, Ended: float64(l.Ended) / flowSteps, Failed: float64(l.Failed) / flowSteps, Silent: l.Silent,
		}
	}
	return out
}
