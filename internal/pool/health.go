package pool

import (
	"math"
	"time"
)

const (
	errorWeight = 0.12            // the part of one answer in an endpoint's share of failures
	errorDecay  = 4 * time.Second // the time constant with which that share is forgotten
)

// errorShareNow is the share of failures among an endpoint's last answers, older ones counting less.
func (m *member) errorShareNow(now time.Time) float64 {
	if m.errorShare == 0 {
		return 0
	}
	return m.errorShare * math.Exp(-now.Sub(m.errorShareAt).Seconds()/errorDecay.Seconds())
}

// recordResult takes one more answer into the share: 1 for a failure, 0 for none.
func (m *member) recordResult(now time.Time, failure float64) {
	m.errorShare = m.errorShareNow(now)*(1-errorWeight) + failure*errorWeight
	m.errorShareAt = now
}

// healthy reports whether nothing speaks against an endpoint.
func (l *Pool) healthy(m *member, now time.Time) bool {
	switch {
	case l.zoneSuspect(m, now), before(now, m.pausedUntil), before(now, m.busyUntil):
		return false
	case m.errorShareNow(now) > l.policy.ErrorShare, l.failsForAll(m, now):
		return false
	}
	return !l.silent(m, now)
}

// before reports whether a moment lies ahead; the zero one, which most endpoints have, never does.
func before(now, at time.Time) bool { return !at.IsZero() && now.Before(at) }

// silent reports whether an endpoint owes an answer and has said nothing for too long.
func (l *Pool) silent(m *member, now time.Time) bool {
	if m.open == 0 {
		return false
	}
	since := m.awaitingSince
	if m.receivedAt.After(since) {
		since = m.receivedAt
	}
	return now.Sub(since) > max(l.policy.MinResponseTimeout, m.responseTimeout)
}

// Received notes that the endpoint has sent something.
func (s *Lease) Received() {
	s.pool.mu.Lock()
	s.member.receivedAt = s.pool.now()
	s.pool.markReached(s.member)
	s.pool.mu.Unlock()
}

// Silent reports whether the endpoint says nothing to anybody here.
func (s *Lease) Silent() bool {
	s.pool.mu.RLock()
	defer s.pool.mu.RUnlock()
	return s.pool.silent(s.member, s.pool.now())
}

// ProcessState is what is known of the process that was picked.
type ProcessState int

// The fates.
const (
	ProcessRunning ProcessState = iota // nothing speaks for its end
	ProcessLeaving                     // its planned end is known: it has said that it drains, or its record is gone
	ProcessEnded                       // another process has started under its ID
)

// ProcessState tells what is known of the process that was picked.
func (s *Lease) ProcessState() ProcessState {
	s.pool.mu.RLock()
	defer s.pool.mu.RUnlock()
	now := s.pool.byID[s.member.ID]
	switch {
	case now == s.member && !s.member.Draining && !s.member.announced.leaves(s.pool.now()):
		return ProcessRunning
	case now != nil && s.member.Outdated(now.Endpoint):
		return ProcessEnded
	}
	return ProcessLeaving
}

// End is how a request's use of an endpoint ended.
type End int

// The ends.
const (
	EndGood        End = iota // a whole answer
	EndFailed                 // an answer that reports that the endpoint failed
	EndBroken                 // no answer, half an answer, or none that can be trusted
	EndUnreachable            // no connection came about
	EndBusy                   // the endpoint did not run it for lack of room
	EndMoved                  // another endpoint has the address
	EndNeutral                // nothing is learnt: the caller left, or the time was up
	EndUnsent                 // nothing was sent: it was not wanted there any more
)

// Accepted notes that the endpoint runs the request.
func (s *Lease) Accepted() {
	if s.window == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.window.grow()
}

// Done ends the use and learns from how it ended.
func (s *Lease) Done(end End) {
	l := s.pool
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	m := s.member
	if m.open--; m.open == 0 {
		delete(l.removedInUse, m)
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
		l.recordFailure(m, now)
		m.ended.add(now, 1)
		m.failed.add(now, 1)
	case EndUnreachable:
		s.returnPermit()
		l.markUnreachable(m, now)
		l.recordFailure(m, now)
	case EndBusy:
		m.busyUntil = now.Add(busyPause)
		if l.policy.BusyDecrease > 0 && m.noticeExclusion(now) == NotExcluded {
			m.window = m.window.shrunk(now, m.open, l.policy.BusyDecrease)
		}
	case EndMoved:
		l.observe(m, Notice{Moved: true}, Answer{})
	case EndUnsent:
		s.returnPermit()
	case EndNeutral:
	}
}

// busyPause is how long an endpoint that is full gets no work.
const busyPause = 100 * time.Millisecond

// recordFailure notes a failure, which pauses an endpoint if there were enough in a row.
func (l *Pool) recordFailure(m *member, now time.Time) {
	if m.failures++; m.failures >= l.policy.PauseAfter {
		l.pauseMember(m, now)
	}
}

// pauseMember keeps new work from an endpoint, longer with each time in a row, unless too many of its service are paused.
func (l *Pool) pauseMember(m *member, now time.Time) {
	if !l.mayPause(m) {
		return
	}
	if m.pause == 0 {
		m.pause = l.policy.FirstPause
	} else {
		m.pause = min(2*m.pause, l.policy.MaxPause)
	}
	m.pausedUntil = now.Add(m.pause)
	if l.policy.ProbeAfterPause {
		m.window = probeWindow()
	}
}

// mayPause reports whether one more endpoint of a service may be paused: what looks like a fault of most of them is one on the way there.
func (l *Pool) mayPause(m *member) bool {
	if l.policy.MaxPausedShare >= 1 {
		return true
	}
	paused := 1
	all := l.services[m.Service]
	for _, other := range all {
		if other != m && other.pause > 0 {
			paused++
		}
	}
	return float64(paused) <= l.policy.MaxPausedShare*float64(len(all))
}
