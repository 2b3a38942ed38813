package pool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is what some instances have under way at an endpoint.
type Load struct {
	Open int // requests
	// Interference is how many times a second a prompt that was sent there makes the streams beside it rest for too long; see pauseChance.
	Interference float64
	Ended        float64 // requests a second that ended well or badly
	Failed       float64 // those that ended badly
	// Silent are the open ones of instances to which the endpoint has said nothing for longer than an answer takes.
	Silent int
}

// Loads are loads by the lower half of the hash of the endpoint's ID and of its start, if it tells it: all instances compute it alike.
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

// silent reports whether an endpoint has fallen silent for all: to most of those who wait there, and to more than one instance's request,
// whose own path may be at fault.
func (x Load) silent() bool { return x.Silent >= minSilent && silentFraction*x.Silent >= x.Open }

// failureShare is the part of requests that ended badly; 0 while too few have ended to tell.
func (x Load) failureShare() float64 {
	if x.Ended*flowDecay.Seconds() < minEnded {
		return 0
	}
	return x.Failed / x.Ended
}

// negligible reports whether there is negligible to tell.
func (x Load) negligible() bool { return x.Open == 0 && x.Interference < minFlow && x.Ended < minFlow }

// PeerLoadsTTL is how long what others have under way counts.
const PeerLoadsTTL = 1500 * time.Millisecond

const (
	flowDecay        = 10 * time.Second // the time constant with which all this is forgotten: sessions come back in some seconds
	certainStallGaps = 2                // reading for so many times what a stream may rest harms for certain
	minFlow          = 0.001            // below this a flow is nothing
	minEnded         = 4                // requests that must have ended lately before their failures say anything

	minSilent      = 2 // requests that must wait in vain before that says anything of the endpoint
	silentFraction = 2 // one in so many of those that are open there
)

// flow is a decaying sum, in units a second, as of a moment.
type flow struct {
	perSecond float64
	at        time.Time
}

// rate brings the flow to a moment.
func (f flow) rate(now time.Time) float64 {
	if f.perSecond == 0 {
		return 0
	}
	return f.perSecond * math.Exp(-now.Sub(f.at).Seconds()/flowDecay.Seconds())
}

// add counts something.
func (f *flow) add(now time.Time, x float64) {
	f.perSecond = f.rate(now) + x/flowDecay.Seconds()
	f.at = now
}

// stallProbability is the chance that a prompt makes a stream beside it rest for too long. While a prompt is read each token of the streams waits
// for a piece of it, and pieces take longer with the prompt's length, so the chance grows faster than the time of
// reading does.
func stallProbability(reading, gap time.Duration) float64 {
	x := reading.Seconds() / (certainStallGaps * gap.Seconds())
	return min(1, x*x*x)
}

func (m *member) key() uint32 { return m.runKey }

// runKey names one run of an endpoint's process in Loads: what was under way at the run before is not under way at this one.
func runKey(e Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.Run())) //nolint:gosec // the lower half is meant
}

// Loads is what this instance has under way.
func (l *Pool) Loads() Loads {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make(Loads)
	for _, m := range l.byID {
		if x := l.load(m, now); !x.negligible() {
			out[m.key()] = x
		}
	}
	return out
}

// load is what this instance has under way at an endpoint. The caller holds mu.
func (l *Pool) load(m *member, now time.Time) Load {
	x := Load{Open: m.open, Interference: m.interference.rate(now), Ended: m.ended.rate(now), Failed: m.failed.rate(now)}
	if l.silent(m, now) {
		x.Silent = m.open
	}
	return x
}

// SetPeerLoads takes what all other instances have under way.
func (l *Pool) SetPeerLoads(others Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerLoads, l.peerLoadsAt = others, l.now()
	for _, m := range l.byID {
		m.peerLoad = others[m.key()]
	}
}

// peerLoadsFresh reports whether it is known what others have under way. The caller holds mu.
func (l *Pool) peerLoadsFresh(now time.Time) bool {
	return l.peerLoads != nil && now.Sub(l.peerLoadsAt) < PeerLoadsTTL
}

// PeerLoads is what all other instances have under way, as far as it is known.
func (l *Pool) PeerLoads() Loads {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !l.peerLoadsFresh(now) {
		return nil
	}
	return l.peerLoads
}

// total is what all instances have under way at an endpoint, as far as it is known. The caller holds mu.
func (l *Pool) total(m *member, now time.Time) Load {
	x := l.load(m, now)
	if l.peerLoadsFresh(now) {
		x = x.plus(m.peerLoad)
	}
	return x
}

// failsForAll reports whether requests of all instances fail at an endpoint, or wait there in vain. It is asked of every endpoint for every
// request, so it begins with what is nothing nearly always. The caller holds mu.
func (l *Pool) failsForAll(m *member, now time.Time) bool {
	if (m.peerLoad.Failed == 0 && m.peerLoad.Silent == 0 && m.failed.perSecond == 0) || !l.peerLoadsFresh(now) {
		return false
	}
	x := l.total(m, now)
	return x.failureShare() > l.policy.ErrorShare || x.silent()
}
