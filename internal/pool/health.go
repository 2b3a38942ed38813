package pool

import (
	"math"
	"time"
)

const (
	errorWeight = 0.12            // weight of one response in an endpoint's share of failures
	errorDecay  = 4 * time.Second // time constant with which that share decays
)

// errorShareNow is the share of failures among an endpoint's recent responses; older ones count less.
func (m *member) errorShareNow(now time.Time) float64 {
	if m.errorShare == 0 {
		return 0
	}
	return m.errorShare * math.Exp(-now.Sub(m.errorShareAt).Seconds()/errorDecay.Seconds())
}

// recordResult adds one response to the share of failures: 1 for a failure, 0 for a success.
func (m *member) recordResult(now time.Time, failure float64) {
	m.errorShare = m.errorShareNow(now)*(1-errorWeight) + failure*errorWeight
	m.errorShareAt = now
}

// healthy reports whether an endpoint and the path to it show no sign of a fault, and the endpoint is not busy.
func (p *Pool) healthy(m *member, now time.Time) bool {
	switch {
	case p.zoneSuspect(m, now), before(now, m.pausedUntil), before(now, m.busyUntil):
		return false
	case m.errorShareNow(now) > p.policy.ErrorShare, p.failsForAll(m, now):
		return false
	}
	return !p.silent(m, now)
}

// before reports whether now is before a time. It is always false for the zero time, which most endpoints have.
func before(now, at time.Time) bool { return !at.IsZero() && now.Before(at) }

// silent reports whether an endpoint owes a response and has sent nothing for longer than the response timeout.
func (p *Pool) silent(m *member, now time.Time) bool {
	if m.open == 0 {
		return false
	}
	since := m.awaitingSince
	if m.receivedAt.After(since) {
		since = m.receivedAt
	}
	return now.Sub(since) > max(p.policy.MinResponseTimeout, m.responseTimeout)
}

// Received records that the endpoint has sent data.
func (l *Lease) Received() {
	l.pool.mu.Lock()
	l.member.receivedAt = l.pool.now()
	l.member.activity.receivedAt = l.member.receivedAt
	l.pool.markReached(l.member)
	l.pool.mu.Unlock()
}

// Silent reports whether the endpoint has sent nothing to this instance for longer than the response timeout, while
// other endpoints of the service have. If all of them are silent at the same time, another one would be no better, so
// the endpoint counts as silent only after a longer time.
func (l *Lease) Silent() bool {
	l.pool.mu.RLock()
	defer l.pool.mu.RUnlock()
	now := l.pool.now()
	return l.pool.silent(l.member, now) && !l.pool.serviceSilent(l.member, now)
}

// maxServiceSilence is how long all endpoints of a service may be silent at the same time. It is shorter than the pause
// after which callers give up a stream.
const maxServiceSilence = 1800 * time.Millisecond

// serviceSilent reports whether several endpoints of a service owe responses and none has sent anything for longer than
// the response timeout, but not yet for maxServiceSilence. The caller holds mu.
func (p *Pool) serviceSilent(m *member, now time.Time) bool {
	silence := m.activity.silentFor(now)
	return m.activity.open > m.open && silence > p.policy.MinResponseTimeout && silence < maxServiceSilence
}

// ProcessState is the last known state of the picked endpoint's process.
type ProcessState int

// The states of a process.
const (
	ProcessRunning ProcessState = iota // nothing indicates that it ends
	ProcessLeaving                     // it drains, has announced that it leaves, or no longer has a record
	ProcessEnded                       // another process has started under its ID
)

// ProcessState returns the last known state of the picked endpoint's process.
func (l *Lease) ProcessState() ProcessState {
	l.pool.mu.RLock()
	defer l.pool.mu.RUnlock()
	current := l.pool.byID[l.member.ID]
	switch {
	case current == l.member && !l.member.Draining && !l.member.announced.leaves(l.pool.now()):
		return ProcessRunning
	case current != nil && l.member.Outdated(current.Endpoint):
		return ProcessEnded
	}
	return ProcessLeaving
}

// End is how a request's use of an endpoint ended.
type End int

// The ways in which a use ends.
const (
	EndGood         End = iota // a complete response
	EndFailed                  // a response that reports a failure of the endpoint
	EndBroken                  // no response, a truncated one, or one that cannot be trusted
	EndUnreachable             // no connection was established
	EndRemoteFailed            // another instance that has a path to it established no connection either
	EndBusy                    // the endpoint rejected it for lack of capacity
	EndMoved                   // another endpoint has the address
	EndNeutral                 // no conclusion about the endpoint: the caller left, or the deadline passed
	EndUnsent                  // nothing was sent: the endpoint no longer accepted it
)

// Accepted records that the endpoint runs the request. This enlarges the endpoint's window, if it has one.
func (l *Lease) Accepted() {
	if l.window == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.window.grow()
}

// Done ends the use and updates the endpoint's health by how it ended. Further calls do nothing.
func (l *Lease) Done(end End) {
	p := l.pool
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	m := l.member
	m.activity.open--
	if m.open--; m.open == 0 {
		delete(p.removedInUse, m)
	}
	switch end {
	case EndGood:
		m.recordResult(now, 0)
		m.pause, m.failures = 0, 0
		m.ended.add(now, 1)
	case EndFailed:
		m.recordResult(now, 1)
		m.ended.add(now, 1)
		m.failed.add(now, 1)
	case EndBroken:
		p.recordFailure(m, now)
		m.ended.add(now, 1)
		m.failed.add(now, 1)
	case EndUnreachable:
		l.returnPermit()
		p.markUnreachable(m, now)
		p.recordFailure(m, now)
	case EndRemoteFailed:
		l.returnPermit()
		p.recordFailure(m, now)
	case EndBusy:
		m.busyUntil = now.Add(busyPause)
		if r := p.rejectionLimitOf(m.Service, now); r != nil {
			p.observe(m, Notice{Backoff: r.pause()}, ResponseInfo{})
		}
		if p.policy.BusyDecrease > 0 && m.noticeExclusion(now) == NotExcluded {
			m.window = m.window.shrunk(now, m.open, p.policy.BusyDecrease)
		}
	case EndMoved:
		p.observe(m, Notice{Moved: true}, ResponseInfo{})
	case EndUnsent:
		l.returnPermit()
	case EndNeutral:
	}
}

// busyPause is how long a busy endpoint gets no new work.
const busyPause = 100 * time.Millisecond

// recordFailure counts a failure, and pauses the endpoint after enough consecutive ones.
func (p *Pool) recordFailure(m *member, now time.Time) {
	if m.failures++; m.failures >= p.policy.PauseAfter {
		p.pauseMember(m, now)
	}
}

// pauseMember pauses an endpoint, each time in a row for longer, unless too many endpoints of its service are paused.
func (p *Pool) pauseMember(m *member, now time.Time) {
	if !p.mayPause(m) {
		return
	}
	if m.pause == 0 {
		m.pause = p.policy.FirstPause
	} else {
		m.pause = min(2*m.pause, p.policy.MaxPause)
	}
	m.pausedUntil = now.Add(m.pause)
	if p.policy.ProbeAfterPause {
		m.window = probeWindow()
	}
}

// mayPause reports whether one more endpoint of a service may be paused. If most of them seem to fail, the fault is
// more likely on the path to them.
func (p *Pool) mayPause(m *member) bool {
	if p.policy.MaxPausedShare >= 1 {
		return true
	}
	paused := 1
	all := p.services[m.Service]
	for _, other := range all {
		if other != m && other.pause > 0 {
			paused++
		}
	}
	return float64(paused) <= p.policy.MaxPausedShare*float64(len(all))
}
