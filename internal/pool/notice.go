package pool

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// Notice is what an endpoint announces about itself in the header of a response. Logs and metrics call a notice a word,
// and a back-off a rest: log readers match these names.
type Notice struct {
	Leaving bool          // it accepts no new work and is about to end
	Moved   bool          // another endpoint has its address
	Backoff time.Duration // for how long it accepts nothing from this instance; 0: it asks for no back-off
	Limit   limit.Rate    // rate that it accepts from all instances together; unset: it announces none
	// Rejections is how many requests of all instances together it can reject in a second without exiting; unset: it
	// announces no such number.
	Rejections limit.Rate
}

// ResponseInfo identifies the response that carried a notice.
type ResponseInfo struct {
	Request string // the request's ID
	Status  int
}

// NoticeTaken reports a notice that took effect, for logs.
type NoticeTaken struct {
	Endpoint Endpoint // its record
	Notice   Notice
	Response ResponseInfo
	FromPeer bool          // another instance received it
	Age      time.Duration // of the record
}

// The events of the log lines about notices.
const (
	EventNotice      = "endpoint_word"
	EventNoticeEnded = "endpoint_word_ended"
)

// Name returns the notice's name in logs and metrics.
func (n Notice) Name() string {
	switch {
	case n.Moved:
		return "moved"
	case n.Leaving:
		return "leaving"
	case n.Backoff > 0:
		return "resting"
	case n.Rejections.IsSet():
		return "rejection-limited"
	}
	return "limited"
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (n NoticeTaken) MarshalZerologObject(e *zerolog.Event) {
	e.Str("word", n.Notice.Name()).Str("endpoint", n.Endpoint.Run()).Str("service", n.Endpoint.Service).Bool("told", n.FromPeer).
		Str("request", n.Response.Request).Int("status", n.Response.Status).Int64("rest_ms", n.Notice.Backoff.Milliseconds()).
		Float64("limit", n.Notice.Limit.PerSecond()).Float64("rejections", n.Notice.Rejections.PerSecond()).Bool("record_draining", n.Endpoint.Draining).Int64("record_age_ms", n.Age.Milliseconds())
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (n NoticeEnded) MarshalZerologObject(e *zerolog.Event) {
	e.Str("endpoint", n.Endpoint.Run()).Str("service", n.Endpoint.Service).Str("why", string(n.Why))
}

// LogNotices returns functions that log notices: 20 lines a second at most, since endpoints that ask for short
// back-offs do so again and again.
func LogNotices(log zerolog.Logger) (taken func(NoticeTaken), ended func(NoticeEnded)) {
	lines := log.Sample(&zerolog.BurstSampler{Burst: maxNoticeLines, Period: time.Second})
	taken = func(n NoticeTaken) {
		lines.Info().Str("event", EventNotice).EmbedObject(n).Msg("endpoint announced in a response that it accepts less work or none")
	}
	ended = func(n NoticeEnded) {
		lines.Info().Str("event", EventNoticeEnded).EmbedObject(n).Msg("endpoint gets work again")
	}
	return taken, ended
}

// maxNoticeLines bounds the log lines about notices in a second.
const maxNoticeLines = 20

// NoticeEnded reports a notice that no longer applies, for logs.
type NoticeEnded struct {
	Endpoint Endpoint
	Why      NoticeEnd
}

// NoticeEnd is the reason why a notice no longer applies.
type NoticeEnd string

// The reasons.
const (
	NoticeExpired   NoticeEnd = "over"       // its time is over
	NoticeRestarted NoticeEnd = "restarted"  // a later start of the endpoint is known
	NoticeCanceled  NoticeEnd = "called-off" // the endpoint's record reported draining too, and now reports ready
	NoticeLifted    NoticeEnd = "lifted"     // the endpoint no longer announces a limit
)

const (
	// leavingTTL is how long a notice of leaving applies after it was last received. A planned end takes seconds,
	// many of them if the store is unreachable. An endpoint that stays after all without reporting so in its record
	// gets work again after this time.
	leavingTTL = 10 * time.Minute
	// maxAnnounced is the number of stored announcements from which on those of endpoints without a record are evicted.
	maxAnnounced = 4096
)

// announced is what one run of an endpoint's process announces in responses. It is newer than any record that the
// endpoint has written, while the store, other instances and full lists deliver records again and again. So it is
// stored beside the records and outlives them: otherwise an endpoint whose record lags would still get work after it
// has announced that it leaves.
type announced struct {
	run               Endpoint
	receivedUnixMilli int64     // wall-clock time of its last notice, in Unix milliseconds
	leavingAt         time.Time // when it last announced that it leaves; zero: it has not
	direct            bool      // this instance itself has received that
	recordDraining    bool      // its record reports that, too
	canceledAt        time.Time // when its record reported that it is ready again
	backoffUntil      time.Time // until when it gets nothing from this instance
	limits            limits
}

// ObserveNotice applies what the endpoint announces in a response. The absence of a limit counts too: it may lift an
// earlier one.
func (l *Lease) ObserveNotice(n Notice, info ResponseInfo) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if n.Leaving || n.Moved || n.Backoff > 0 {
		l.pool.observe(l.member, n, info)
	}
	l.pool.observeLimit(l, n.Limit, info)
	l.pool.observeRejectionLimit(l.member, n.Rejections, info)
}

// observe applies a notice that this instance has received itself. The caller holds mu.
func (p *Pool) observe(m *member, n Notice, info ResponseInfo) {
	x := p.announcedBy(m.Endpoint)
	if x == nil {
		return
	}
	now := p.now()
	x.receivedUnixMilli = p.wall().UnixMilli()
	changed := false
	if n.Leaving || n.Moved {
		changed = !x.leaves(now)
		x.leavingAt, x.direct = now, true
	}
	if n.Backoff > 0 {
		changed = x.extendBackoff(now, now.Add(n.Backoff+p.backoffJitter(n.Backoff)+p.returnDelay(m))) || changed
		m.window = m.window.shrunk(now, m.open, p.policy.BackoffDecrease)
	}
	if changed {
		p.onNotice(NoticeTaken{Endpoint: m.Endpoint, Notice: n, Response: info, Age: now.Sub(m.recordAt)})
	}
}

// extendBackoff sets until when an endpoint accepts nothing. It returns true if no back-off was in progress. The
// longest time counts: several requests may be under way when an endpoint asks for a back-off, and the last response to
// them may announce the shortest time.
func (x *announced) extendBackoff(now, until time.Time) (started bool) {
	started = !before(now, x.backoffUntil)
	if until.After(x.backoffUntil) {
		x.backoffUntil = until
	}
	return started
}

// backoffJitter is a random delay that this instance adds to a back-off.
func (p *Pool) backoffJitter(backoff time.Duration) time.Duration {
	const steps = 1 << 16
	return time.Duration(p.policy.BackoffJitter * float64(backoff) * float64(p.random(steps)) / steps)
}

// returnDelay is how much later than the first instances this instance returns to an endpoint, in an order that all
// instances compute. As many instances as the endpoint has slots return first, then twice as many in each step. All of
// them receive the notice at about the same time, so hundreds would otherwise return at once.
func (p *Pool) returnDelay(m *member) time.Duration {
	delay := time.Duration(0)
	first := int(m.slots())
	for ; first < p.owners.Size() && !p.owners.Owns(m.ID, first); first *= 2 {
		delay += returnStep
	}
	return delay
}

// returnStep is the time between two steps of returnDelay. An endpoint that is overloaded again announces it sooner.
const returnStep = 500 * time.Millisecond

// announcedBy finds or creates the announcements of a run of an endpoint's process; nil if a later run is known. The
// caller holds mu.
func (p *Pool) announcedBy(run Endpoint) *announced {
	if p.outdated(run) {
		return nil
	}
	m, x := p.byID[run.ID], p.announced[run.ID]
	if x == nil || !sameRun(x.run, run) {
		p.evictAnnounced()
		x = &announced{run: run, recordDraining: run.Draining}
		p.announced[run.ID] = x
	}
	if m != nil && sameRun(m.Endpoint, run) {
		m.announced, x.recordDraining = x, m.Draining
	}
	return x
}

// outdated reports whether a later run than the given one is known. The caller holds mu.
func (p *Pool) outdated(run Endpoint) bool {
	if m := p.byID[run.ID]; m != nil && run.Outdated(m.Endpoint) {
		return true
	}
	x := p.announced[run.ID]
	return x != nil && run.Outdated(x.run)
}

// sameRun reports whether two records of an endpoint may come from the same run of its process.
func sameRun(a, b Endpoint) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && !a.Outdated(b) && !b.Outdated(a)
}

// evictAnnounced frees space for another run: it drops announcements that no longer apply, and those of endpoints
// without a record.
func (p *Pool) evictAnnounced() {
	if len(p.announced) < maxAnnounced {
		return
	}
	maps.DeleteFunc(p.announced, func(id string, x *announced) bool {
		m := p.byID[id]
		if m != nil && !x.inactive() {
			return false
		}
		if m != nil {
			m.announced = nil
		}
		return true
	})
}

// reconcileRecord finds the announcements of an endpoint whose record has arrived, and ends those that the record
// supersedes. The caller holds mu.
func (p *Pool) reconcileRecord(e Endpoint) *announced {
	x := p.announced[e.ID]
	switch {
	case x == nil:
		return nil
	case x.run.Outdated(e), x.run.StartedAt == 0 && e.StartedAt > x.receivedUnixMilli:
		// A start time that is reported for the first time belongs to this run only if it precedes this run's last
		// notice. Clocks may differ by seconds, but endpoints that leave have run for longer than that.
		p.announced[e.ID] = &announced{run: e} // recognizes late records of the previous run
		p.onNoticeEnded(NoticeEnded{Endpoint: e, Why: NoticeRestarted})
		return nil
	case !sameRun(x.run, e):
		return nil // at another address: the announcements are of another process
	}
	x.run.StartedAt = max(x.run.StartedAt, e.StartedAt)
	if x.recordDraining && !e.Draining && !x.leavingAt.IsZero() {
		// The record has reported draining too, so it is newer than the notice: the endpoint stays after all.
		x.leavingAt, x.direct, x.canceledAt = time.Time{}, false, p.now()
		p.onNoticeEnded(NoticeEnded{Endpoint: e, Why: NoticeCanceled})
	}
	x.recordDraining = e.Draining
	return x
}

// leaves reports whether a notice that the endpoint leaves applies.
func (x *announced) leaves(now time.Time) bool {
	return x != nil && !x.leavingAt.IsZero() && now.Sub(x.leavingAt) < leavingTTL
}

// inactive reports whether no announcement of the endpoint applies any more, and the end of each has been reported.
func (x *announced) inactive() bool { return x.noNotice() && (x == nil || !x.limits.active) }

// noNotice reports whether neither a notice that the endpoint leaves nor a back-off is recorded.
func (x *announced) noNotice() bool {
	return x == nil || (x.leavingAt.IsZero() && x.backoffUntil.IsZero())
}

// noticeExclusion returns why an endpoint gets no work by its own notice, even if no other endpoint is left: a notice
// is binding, not a preference. The caller holds mu.
func (m *member) noticeExclusion(now time.Time) Exclusion {
	switch {
	case m.announced == nil:
		return NotExcluded
	case m.announced.leaves(now):
		return ExcludedLeaving
	case before(now, m.announced.backoffUntil):
		return ExcludedBackoff
	}
	return NotExcluded
}

// clearNotices clears the expired notices of an endpoint that gets a request, and returns its window. The caller
// holds mu.
func (p *Pool) clearNotices(m *member, now time.Time) *window {
	if x := m.announced; !x.noNotice() {
		if !x.leavingAt.IsZero() {
			m.window = probeWindow()
		}
		x.leavingAt, x.direct, x.backoffUntil = time.Time{}, false, time.Time{}
		p.onNoticeEnded(NoticeEnded{Endpoint: m.Endpoint, Why: NoticeExpired})
	}
	m.window.start(now)
	return m.window
}

// StillValid reports whether the endpoint still accepts the request, as far as is known. The endpoint or its record
// may have reported otherwise since the pick.
func (l *Lease) StillValid() bool {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byID[l.member.ID]
	return m != nil && sameRun(m.Endpoint, l.member.Endpoint) && !m.Draining && m.noticeExclusion(p.now()) == NotExcluded && !p.evacuated[m.Zone] &&
		p.permitted(l)
}

// Leaving maps endpoints to how long ago they announced that they leave, by the same key as Loads.
type Leaving map[uint32]time.Duration

// Add merges other notices into these; for each endpoint the newest one counts.
func (l Leaving) Add(other Leaving) {
	for key, age := range other {
		if known, ok := l[key]; !ok || age < known {
			l[key] = age
		}
	}
}

// Leaving returns which endpoints have announced to this instance that they leave, unless their records report it
// themselves.
func (p *Pool) Leaving() Leaving {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out Leaving
	for id, x := range p.announced {
		m := p.byID[id]
		if m == nil || m.announced != x || m.Draining || !x.direct || !x.leaves(now) {
			continue
		}
		if out == nil {
			out = make(Leaving)
		}
		out[m.key()] = now.Sub(x.leavingAt)
	}
	return out
}

// ObserveLeaving applies what endpoints have announced to other instances.
func (p *Pool) ObserveLeaving(reported Leaving) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peersLeaving = reported
	p.applyFromPeers(len(reported), p.applyPeersLeaving)
}

// applyFromPeers calls apply for each endpoint if other instances have reported anything. The caller holds mu.
func (p *Pool) applyFromPeers(reported int, apply func(*member)) {
	if reported == 0 {
		return
	}
	for _, m := range p.byID {
		apply(m)
	}
}

// applyPeersLeaving applies an endpoint's notice of leaving that other instances have received, unless it is older
// than the known state. The caller holds mu.
func (p *Pool) applyPeersLeaving(m *member) {
	age, ok := p.peersLeaving[m.key()]
	if !ok || age >= leavingTTL {
		return
	}
	now := p.now()
	at := now.Add(-age)
	x := p.announcedBy(m.Endpoint)
	if x == nil || x.leaves(now) || !at.After(x.canceledAt.Add(maxRelayLag)) {
		return
	}
	x.leavingAt, x.receivedUnixMilli = at, p.wall().Add(-age).UnixMilli()
	p.onNotice(NoticeTaken{Endpoint: m.Endpoint, Notice: Notice{Leaving: true}, FromPeer: true, Age: now.Sub(m.recordAt)})
}

// maxRelayLag is an upper bound of the delay of a notice that other instances report: it waits for an exchange at each
// instance that passes it on. Because of the delay the notice seems newer than it is.
const maxRelayLag = 2 * PeerLoadsTTL

// Availability describes whether any endpoint accepts a request now, and if not, why.
type Availability struct {
	Open    bool
	Full    bool          // some endpoints would, but have no capacity left
	Backoff time.Duration // until the first of these back-offs is over; 0: no endpoint has asked for one
	// Limited is true if some endpoints would, but this instance has used its part of their limits; Rate is the sum of
	// these parts, in requests a second.
	Limited bool
	Rate    float64
}

// Availability reports whether any endpoint accepts a request now.
func (p *Pool) Availability(q Query) Availability {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Availability
	for _, m := range p.services[q.Service] {
		if !p.allowed(m, q) {
			continue
		}
		switch p.exclusionOf(m, now) {
		case NotExcluded:
			if p.hasCapacity(m, p.connectionsOf(q.Service, now), now) && p.rejectionLimitOf(q.Service, now).withinSlots(m) {
				return Availability{Open: true}
			}
			out.Full = true
		case ExcludedBackoff:
			if left := m.announced.backoffUntil.Sub(now); out.Backoff == 0 || left < out.Backoff {
				out.Backoff = left
			}
		case ExcludedLimited:
			out.Limited = true
			out.Rate += p.expectedRate(m, now)
		case ExcludedEvacuated, ExcludedCold, ExcludedLeaving:
		}
	}
	return out
}
