package load

import (
	"cmp"
	"math"
	"time"

	"github.com/ledgemount/ledgemount/internal/pool"
)

// A leader sends a digest to each instance of its availability zone twice a second, possibly over a slow link, so a
// digest is short. Flows are encoded in integer thousandths per second.
const (
	flowScale = 1000 // units of a flow of one per second
	maxLines  = 300  // endpoints in a digest; those with the least load are left out

	maxAge = 24 * time.Hour // of an announcement; a greater age counts as invalid
)

// line is the load of one or more instances at one endpoint.
type line struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // as in pool.Loads
	Open     int
	Harm     int // pool.Load.Interference; this and the next two in thousandths per second
	Ended    int
	Failed   int
	Silent   int // requests, as in pool.Load
}

// digest is the encoded report of one or more instances.
type digest struct {
	Lines     []line `cbor:"1,keyasint,omitempty"`
	Piggyback []byte `cbor:"2,keyasint,omitempty"` // data of a Piggyback
	// Leaving lists endpoints that have announced in responses that they are leaving. Older builds ignore the field.
	Leaving []leaving `cbor:"3,keyasint,omitempty"`
	// Limits reports the limits of endpoints; Claims and Grants divide them. Older builds ignore these fields too.
	Limits []announcedLimit `cbor:"4,keyasint,omitempty"`
	Claims []claim          `cbor:"5,keyasint,omitempty"`
	Grants []grant          `cbor:"6,keyasint,omitempty"`
}

// leaving is an endpoint's announcement that it is leaving.
type leaving struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // as in pool.Loads
	AgeMs    int64    // since the announcement
}

// pack encodes a report and leaves out endpoints without load.
func pack(r report, now time.Time) digest {
	return digest{Lines: packLoads(r.loads), Leaving: packLeaving(r.leaving), Limits: packLimits(r.limits, now)}
}

func packLoads(loads pool.Loads) []line {
	lines := make([]line, 0, len(loads))
	for key, x := range loads {
		l := line{Endpoint: key, Open: x.Open, Harm: roundThousandths(x.Interference), Ended: roundThousandths(x.Ended), Failed: roundThousandths(x.Failed), Silent: x.Silent}
		if l.Open+l.Harm+l.Ended+l.Failed > 0 {
			lines = append(lines, l)
		}
	}
	return truncate(lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}

// packLeaving encodes which endpoints are leaving. If there are too many, it keeps the latest announcements.
func packLeaving(l pool.Leaving) []leaving {
	out := make([]leaving, 0, len(l))
	for key, age := range l {
		out = append(out, leaving{Endpoint: key, AgeMs: age.Milliseconds()})
	}
	return truncate(out, func(a, b leaving) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
}

// unpack decodes a report that was received at now.
func (d digest) unpack(now time.Time) report {
	out := report{loads: make(pool.Loads, len(d.Lines)), leaving: make(pool.Leaving, len(d.Leaving)), limits: unpackLimits(d.Limits, now)}
	for _, l := range d.Lines {
		out.loads[l.Endpoint] = pool.Load{
			Open: l.Open, Interference: float64(l.Harm) / flowScale, Ended: float64(l.Ended) / flowScale, Failed: float64(l.Failed) / flowScale, Silent: l.Silent,
		}
	}
	for _, l := range d.Leaving {
		if l.AgeMs >= 0 && l.AgeMs <= maxAge.Milliseconds() {
			out.leaving[l.Endpoint] = time.Duration(l.AgeMs) * time.Millisecond
		}
	}
	return out
}

// subtract returns lines less parts, which are the contribution of one instance to them. No figure becomes negative.
func subtract(lines, parts []line) []line {
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

// weight returns a rough measure of how much a line influences the choice of endpoints.
func (l line) weight() int { return (l.Open+l.Silent)*flowScale + l.Harm + l.Failed }

func roundThousandths(perSecond float64) int { return int(math.Round(perSecond * flowScale)) }
