package pool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is the work that some instances have under way at an endpoint.
type Load struct {
	Open int // requests that are open
	// Interference is how many times a second a prompt that is sent there stalls the streams beside it for too long; see
	// stallProbability. The load exchange calls it harm.
	Interference float64
	Ended        float64 // requests a second that succeeded or failed
	Failed       float64 // those that failed
	// Silent is the number of open requests of instances to which the endpoint has sent nothing for longer than the
	// response timeout.
	Silent int
}

// Loads maps endpoints to loads. The key is the lower half of the hash of the endpoint's ID and, if reported, its
// start time: all instances compute the same one.
type Loads map[uint32]Load

// Add adds other loads to these.
func (l Loads) Add(other Loads) {
	for key, x := range other {
		l[key] = l[key].plus(x)
	}
}

func (x Load) plus(y Load) Load {
	return Load{Open: x.Open + y.Open, Interference: x.Interference + y.Interference, Ended: x.Ended + y.Ended, Failed: x.Failed + y.Failed, Silent: x.Silent + y.Silent}
}

// silent reports whether an endpoint no longer responds: at least half of the requests that all instances have open
// there, and at least two, wait in vain. A single one is not enough, since the path of its instance may be at fault.
func (x Load) silent() bool { return x.Silent >= minSilent && silentFraction*x.Silent >= x.Open }

// failureShare is the share of requests that failed; 0 while too few have ended to judge.
func (x Load) failureShare() float64 {
	if x.Ended*flowDecay.Seconds() < minEnded {
		return 0
	}
	return x.Failed / x.Ended
}

// negligible reports whether there is nothing to report.
func (x Load) negligible() bool { return x.Open == 0 && x.Interference < minFlow && x.Ended < minFlow }

// PeerLoadsTTL is how long the reported loads of other instances are valid.
const PeerLoadsTTL = 1500 * time.Millisecond

const (
	flowDecay        = 10 * time.Second // time constant of a flow's decay: requests of one affinity recur within seconds
	certainStallGaps = 2                // reading a prompt for so many allowed gaps certainly stalls streams
	minFlow          = 0.001            // rates below this are negligible
	minEnded         = 4                // requests that must have ended recently before their failures count

	minSilent      = 2 // requests that must wait in vain before the endpoint counts as silent
	silentFraction = 2 // and at least one in so many of those that are open there
)

// flow is an exponentially decaying rate, in units a second, as of a moment.
type flow struct {
	perSecond float64
	at        time.Time
}

// rate returns the rate, decayed up to a moment.
func (f flow) rate(now time.Time) float64 {
	if f.perSecond == 0 {
		return 0
	}
	return f.perSecond * math.Exp(-now.Sub(f.at).Seconds()/flowDecay.Seconds())
}

// add counts x units.
func (f *flow) add(now time.Time, x float64) {
	f.perSecond = f.rate(now) + x/flowDecay.Seconds()
	f.at = now
}

// stallProbability is the probability that a prompt stalls a stream beside it for longer than the allowed gap. While
// a prompt is read, each token of the streams waits for a chunk of it. Chunks take longer as the prompt grows, so the
// probability grows faster than the reading time.
func stallProbability(reading, gap time.Duration) float64 {
	x := reading.Seconds() / (certainStallGaps * gap.Seconds())
	return min(1, x*x*x)
}

func (m *member) key() uint32 { return m.runKey }

// runKey identifies one run of an endpoint's process in Loads: requests that were open at the previous run are not
// open at this one.
func runKey(e Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.Run())) //nolint:gosec // the lower half is meant
}

// Loads returns the load of this instance.
func (p *Pool) Loads() Loads {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(Loads)
	for _, m := range p.byID {
		if x := p.load(m, now); !x.negligible() {
			out[m.key()] = x
		}
	}
	return out
}

// load is the load of this instance at an endpoint. The caller holds mu.
func (p *Pool) load(m *member, now time.Time) Load {
	x := Load{Open: m.open, Interference: m.interference.rate(now), Ended: m.ended.rate(now), Failed: m.failed.rate(now)}
	if p.silent(m, now) {
		x.Silent = m.open
	}
	return x
}

// SetPeerLoads sets the loads of all other instances.
func (p *Pool) SetPeerLoads(loads Loads) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerLoads, p.peerLoadsAt = loads, p.now()
	for _, m := range p.byID {
		m.peerLoad = loads[m.key()]
	}
}

// peerLoadsFresh reports whether the loads of the other instances are known and still valid. The caller holds mu.
func (p *Pool) peerLoadsFresh(now time.Time) bool {
	return p.peerLoads != nil && now.Sub(p.peerLoadsAt) < PeerLoadsTTL
}

// PeerLoads returns the loads of all other instances; nil if they are unknown or no longer valid.
func (p *Pool) PeerLoads() Loads {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	if !p.peerLoadsFresh(now) {
		return nil
	}
	return p.peerLoads
}

// total is the load of all instances at an endpoint, as far as it is known. The caller holds mu.
func (p *Pool) total(m *member, now time.Time) Load {
	x := p.load(m, now)
	if p.peerLoadsFresh(now) {
		x = x.plus(m.peerLoad)
	}
	return x
}

// failsForAll reports whether requests of all instances fail at an endpoint, or wait there in vain. It runs for every
// endpoint on every request, so it first checks values that are almost always zero. The caller holds mu.
func (p *Pool) failsForAll(m *member, now time.Time) bool {
	if (m.peerLoad.Failed == 0 && m.peerLoad.Silent == 0 && m.failed.perSecond == 0) || !p.peerLoadsFresh(now) {
		return false
	}
	x := p.total(m, now)
	return x.failureShare() > p.policy.ErrorShare || x.silent()
}
