package pool

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// Notice is what an endpoint reports of itself in the head of an answer.
type Notice struct {
	Leaving bool          // it takes no new work, and will end
	Moved   bool          // another endpoint has its address
	Rest    time.Duration // it wants nothing from this instance for so long; 0: it does not say so
	Limit   limit.Rate    // what it takes from all instances together; not named: it does not say
}

// Answer is the answer of an endpoint that a word stood in.
type Answer struct {
	Request string // its ID
	Status  int
}

// NoticeTaken reports an endpoint's word that was taken, for logs.
type NoticeTaken struct {
	Endpoint Endpoint // by its record
	Notice   Notice
	Answer   Answer
	FromPeer bool          // another instance has heard it
	Age      time.Duration // of the record
}

// The events of the lines about words.
const (
	EventNotice      = "endpoint_word"
	EventNoticeEnded = "endpoint_word_ended"
)

// Name names the word in logs and metrics.
func (w Notice) Name() string {
	switch {
	case w.Moved:
		return "moved"
	case w.Leaving:
		return "leaving"
	case w.Rest > 0:
		return "resting"
	}
	return "limited"
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (h NoticeTaken) MarshalZerologObject(e *zerolog.Event) {
	e.Str("word", h.Notice.Name()).Str("endpoint", h.Endpoint.Run()).Str("service", h.Endpoint.Service).Bool("told", h.FromPeer).
		Str("request", h.Answer.Request).Int("status", h.Answer.Status).Int64("rest_ms", h.Notice.Rest.Milliseconds()).
		Float64("limit", h.Notice.Limit.PerSecond()).Bool("record_draining", h.Endpoint.Draining).Int64("record_age_ms", h.Age.Milliseconds())
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s NoticeEnded) MarshalZerologObject(e *zerolog.Event) {
	e.Str("endpoint", s.Endpoint.Run()).Str("service", s.Endpoint.Service).Str("why", string(s.Why))
}

// LogNotices makes what logs words: 20 lines a second at most, for endpoints that ask for rest for moments do so again and again.
func LogNotices(log zerolog.Logger) (heard func(NoticeTaken), silenced func(NoticeEnded)) {
	lines := log.Sample(&zerolog.BurstSampler{Burst: maxNoticeLines, Period: time.Second})
	heard = func(h NoticeTaken) {
		lines.Info().Str("event", EventNotice).EmbedObject(h).Msg("an endpoint says in an answer that it takes less work, or none")
	}
	silenced = func(s NoticeEnded) {
		lines.Info().Str("event", EventNoticeEnded).EmbedObject(s).Msg("an endpoint gets work again")
	}
	return heard, silenced
}

// maxNoticeLines bounds the lines about words in a second.
const maxNoticeLines = 20

// NoticeEnded reports an endpoint's word that does not count any more, for logs.
type NoticeEnded struct {
	Endpoint Endpoint
	Why      NoticeEnd
}

// NoticeEnd reports why an endpoint's word does not count any more.
type NoticeEnd string

// The reasons.
const (
	NoticeExpired   NoticeEnd = "over"       // its time is over
	NoticeRestarted NoticeEnd = "restarted"  // a later start of the endpoint is known
	NoticeCanceled  NoticeEnd = "called-off" // the endpoint's record had said so too, and says that it is ready again
	NoticeLifted    NoticeEnd = "lifted"     // it names no limit any more
)

const (
	// leavingTTL is how long the word that an endpoint leaves holds after it was last heard. A planned end takes seconds, many of them where
	// the store is away; an endpoint that changes its mind without a word in its record gets work again after this.
	leavingTTL = 10 * time.Minute
	// maxAnnounced bounds the runs of endpoints without a record whose words are remembered.
	maxAnnounced = 4096
)

// announced is what one run of an endpoint's process reports of itself in answers. It is newer than any record that the endpoint has written, and the
// store, another instance and a list of all endpoints tell records again and again. So it is kept beside the records, and it outlives them: an
// endpoint whose record lags would go on getting work after it has announced that it leaves.
type announced struct {
	run               Endpoint
	receivedUnixMilli int64     // the time of day when it last said something to this instance, in Unix milliseconds
	leavingAt         time.Time // when it last said that it leaves; zero: it does not say so
	direct            bool      // it said so to this instance
	recordDraining    bool      // its record says so too
	canceledAt        time.Time // when its record said that it is ready again
	restUntil         time.Time // until when it gets nothing from this instance
	limits            limits
}

// ObserveNotice takes what the endpoint reports of itself in an answer. That it names no limit is a word too.
func (s *Lease) ObserveNotice(w Notice, a Answer) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if w.Leaving || w.Moved || w.Rest > 0 {
		s.pool.observe(s.member, w, a)
	}
	s.pool.observeLimit(s, w.Limit, a)
}

// observe takes a word of an endpoint that this instance has observed itself. The caller holds mu.
func (l *Pool) observe(m *member, w Notice, a Answer) {
	x := l.announcedBy(m.Endpoint)
	if x == nil {
		return
	}
	now := l.now()
	x.receivedUnixMilli = l.wall().UnixMilli()
	news := false
	if w.Leaving || w.Moved {
		news = !x.leaves(now)
		x.leavingAt, x.direct = now, true
	}
	if w.Rest > 0 {
		news = x.extendRest(now, now.Add(w.Rest+l.restJitter(w.Rest)+l.returnDelay(m))) || news
		m.window = m.window.shrunk(now, m.open, l.policy.RestDecrease)
	}
	if news {
		l.onNotice(NoticeTaken{Endpoint: m.Endpoint, Notice: w, Answer: a, Age: now.Sub(m.recordAt)})
	}
}

// extendRest notes until when an endpoint wants nothing; true if it did not rest. The longest time counts: several answers may be under way when an
// endpoint asks for rest, and the last of them names the shortest.
func (x *announced) extendRest(now, until time.Time) (news bool) {
	news = !before(now, x.restUntil)
	if until.After(x.restUntil) {
		x.restUntil = until
	}
	return news
}

// restJitter is how much later than asked this instance comes back.
func (l *Pool) restJitter(rest time.Duration) time.Duration {
	const steps = 1 << 16
	return time.Duration(l.policy.RestJitter * float64(rest) * float64(l.random(steps)) / steps)
}

// returnDelay is how much returnDelay than others this instance comes back to an endpoint, in an order that all know: as many as it has slots
// first, then twice as many in each step. All were told at the same time that it wants rest; hundreds would come back at once.
func (l *Pool) returnDelay(m *member) time.Duration {
	late := time.Duration(0)
	first := int(m.slots())
	for ; first < l.owners.Size() && !l.owners.Owns(m.ID, first); first *= 2 {
		late += returnStep
	}
	return late
}

// returnStep is the time between the returns of instances that are further apart in that order: an endpoint that has too much again says so sooner.
const returnStep = 500 * time.Millisecond

// announcedBy finds or makes what is kept of a run of an endpoint's process; nil if a later one is known. The caller holds mu.
func (l *Pool) announcedBy(run Endpoint) *announced {
	if l.outdated(run) {
		return nil
	}
	m, x := l.byID[run.ID], l.announced[run.ID]
	if x == nil || !sameRun(x.run, run) {
		l.evictAnnounced()
		x = &announced{run: run, recordDraining: run.Draining}
		l.announced[run.ID] = x
	}
	if m != nil && sameRun(m.Endpoint, run) {
		m.announced, x.recordDraining = x, m.Draining
	}
	return x
}

// outdated reports whether a later start is known than that of a run. The caller holds mu.
func (l *Pool) outdated(run Endpoint) bool {
	if m := l.byID[run.ID]; m != nil && run.Outdated(m.Endpoint) {
		return true
	}
	x := l.announced[run.ID]
	return x != nil && run.Outdated(x.run)
}

// sameRun reports whether two words of an endpoint may be of one run of its process.
func sameRun(a, b Endpoint) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Addr == b.Addr && !a.Outdated(b) && !b.Outdated(a)
}

// evictAnnounced makes room for another run: it drops what does not count any more, and what was said by endpoints without a record.
func (l *Pool) evictAnnounced() {
	if len(l.announced) < maxAnnounced {
		return
	}
	maps.DeleteFunc(l.announced, func(id string, x *announced) bool {
		m := l.byID[id]
		if m != nil && !x.inactive() {
			return false
		}
		if m != nil {
			m.announced = nil
		}
		return true
	})
}

// reconcileRecord finds what an endpoint has said whose record has come, and lets the record end it. The caller holds mu.
func (l *Pool) reconcileRecord(e Endpoint) *announced {
	x := l.announced[e.ID]
	switch {
	case x == nil:
		return nil
	case x.run.Outdated(e), x.run.StartedAt == 0 && e.StartedAt > x.receivedUnixMilli:
		// A start that is told for the first time is that of this run only if it was before this run said something. Clocks may differ by seconds,
		// endpoints that leave have run for longer.
		l.announced[e.ID] = &announced{run: e} // so that the run before is known again when it is told late
		l.onNoticeEnded(NoticeEnded{Endpoint: e, Why: NoticeRestarted})
		return nil
	case !sameRun(x.run, e):
		return nil // at another address: what was said is not of this one
	}
	x.run.StartedAt = max(x.run.StartedAt, e.StartedAt)
	if x.recordDraining && !e.Draining && !x.leavingAt.IsZero() {
		// The record is newer than the word, for it had said so too: the endpoint stays after all.
		x.leavingAt, x.direct, x.canceledAt = time.Time{}, false, l.now()
		l.onNoticeEnded(NoticeEnded{Endpoint: e, Why: NoticeCanceled})
	}
	x.recordDraining = e.Draining
	return x
}

// leaves reports whether the word that the endpoint leaves counts.
func (x *announced) leaves(now time.Time) bool {
	return x != nil && !x.leavingAt.IsZero() && now.Sub(x.leavingAt) < leavingTTL
}

// inactive reports whether inactive that the endpoint has said counts any more, and it has been told so.
func (x *announced) inactive() bool { return x.acceptsWork() && (x == nil || !x.limits.active) }

// acceptsWork reports whether it has neither said that it leaves nor asked for rest.
func (x *announced) acceptsWork() bool {
	return x == nil || (x.leavingAt.IsZero() && x.restUntil.IsZero())
}

// noticeExclusion reports why an endpoint gets no work by its own word, whatever else is left: that word is a rule, not a preference. The caller holds mu.
func (m *member) noticeExclusion(now time.Time) Exclusion {
	switch {
	case m.announced == nil:
		return NotExcluded
	case m.announced.leaves(now):
		return ExcludedLeaving
	case before(now, m.announced.restUntil):
		return ExcludedResting
	}
	return NotExcluded
}

// clearNotices notes that an endpoint gets a request; what it had said counts no more then. The caller holds mu.
func (l *Pool) clearNotices(m *member, now time.Time) *window {
	if x := m.announced; !x.acceptsWork() {
		if !x.leavingAt.IsZero() {
			m.window = probeWindow()
		}
		x.leavingAt, x.direct, x.restUntil = time.Time{}, false, time.Time{}
		l.onNoticeEnded(NoticeEnded{Endpoint: m.Endpoint, Why: NoticeExpired})
	}
	m.window.start(now)
	return m.window
}

// StillValid reports whether the endpoint still takes the request as far as is known: it, or its record, may have said otherwise since it was picked.
func (s *Lease) StillValid() bool {
	l := s.pool
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byID[s.member.ID]
	return m != nil && sameRun(m.Endpoint, s.member.Endpoint) && !m.Draining && m.noticeExclusion(l.now()) == NotExcluded && !l.evacuated[m.Zone] &&
		l.permitted(s)
}

// Leaving tells how long ago endpoints have said that they leave, by the same key as Loads.
type Leaving map[uint32]time.Duration

// Add adds other words to these; of one endpoint the newest counts.
func (l Leaving) Add(other Leaving) {
	for key, age := range other {
		if known, ok := l[key]; !ok || age < known {
			l[key] = age
		}
	}
}

// Leaving is what endpoints have said to this instance, as long as their records do not say it themselves.
func (l *Pool) Leaving() Leaving {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out Leaving
	for id, x := range l.announced {
		m := l.byID[id]
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

// ObserveLeaving takes what endpoints have said to other instances.
func (l *Pool) ObserveLeaving(told Leaving) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersLeaving = told
	l.applyFromPeers(len(told), l.applyPeersLeaving)
}

// applyFromPeers lets each endpoint take what other instances have reported, if that is anything. The caller holds mu.
func (l *Pool) applyFromPeers(told int, take func(*member)) {
	if told == 0 {
		return
	}
	for _, m := range l.byID {
		take(m)
	}
}

// applyPeersLeaving takes what an endpoint has said to other instances, unless that is older than what is known. The caller holds mu.
func (l *Pool) applyPeersLeaving(m *member) {
	age, ok := l.peersLeaving[m.key()]
	if !ok || age >= leavingTTL {
		return
	}
	now := l.now()
	at := now.Add(-age)
	x := l.announcedBy(m.Endpoint)
	if x == nil || x.leaves(now) || !at.After(x.canceledAt.Add(maxRelayLag)) {
		return
	}
	x.leavingAt, x.receivedUnixMilli = at, l.wall().Add(-age).UnixMilli()
	l.onNotice(NoticeTaken{Endpoint: m.Endpoint, Notice: Notice{Leaving: true}, FromPeer: true, Age: now.Sub(m.recordAt)})
}

// maxRelayLag bounds how much younger a word seems that others tell than it is: it waits for an exchange at each instance that passes it on.
const maxRelayLag = 2 * PeerLoadsTTL

// Availability reports whether any endpoint takes a request now.
type Availability struct {
	Open bool
	Full bool          // some would, but have as much as they bear
	Rest time.Duration // until the first that rests takes work again; 0: none rests
	// Limited: some would, but have had what this instance may send to them; Rate is how many requests a second that is
	Limited bool
	Rate    float64
}

// Availability reports whether any endpoint takes a request now.
func (l *Pool) Availability(q Query) Availability {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var o Availability
	for _, m := range l.services[q.Service] {
		if !l.allowed(m, q) {
			continue
		}
		switch l.exclusionOf(m, now) {
		case NotExcluded:
			if l.hasCapacity(m, l.connectionsOf(q.Service, now), now) {
				return Availability{Open: true}
			}
			o.Full = true
		case ExcludedResting:
			if left := m.announced.restUntil.Sub(now); o.Rest == 0 || left < o.Rest {
				o.Rest = left
			}
		case ExcludedLimited:
			o.Limited = true
			o.Rate += l.expectedRate(m, now)
		case ExcludedEvacuated, ExcludedCold, ExcludedLeaving:
		}
	}
	return o
}
