// Package reach determines which endpoints this instance has lost its path to although other instances reach them.
// Connections to these endpoints are established through the other instances.
//
// An endpoint that cannot be reached may have exited, so another instance tries to connect to it: if it can, the path of
// this instance is at fault. If this instance reaches few of several endpoints of a service, and another instance
// reaches one of the others, the path to all endpoints of the service counts as lost.
package reach

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// State is how this instance reaches an endpoint, or most endpoints of a service.
type State int

// The states.
const (
	Direct    State = iota // by direct connections
	Forwarded              // through other instances
	Lost                   // not at all
)

var stateNames = map[State]string{Direct: "direct", Forwarded: "forwarded", Lost: "lost"}

// String returns the state's name for logs.
func (s State) String() string { return stateNames[s] }

// Endpoints is the part of the pool that a Monitor uses.
type Endpoints interface {
	// Stalled returns the services whose endpoints have all been silent for a time although requests are open.
	Stalled(silence time.Duration) []string
	// ReceivedSince reports whether an endpoint of a service has sent data since a moment.
	ReceivedSince(service string, since time.Time) bool
	// ProbeTargets returns endpoints by which to check the path to a service, without the one with the given ID.
	ProbeTargets(service string, n int, without string) []pool.Endpoint
	// Lookup returns the record of an endpoint that accepts work.
	Lookup(id string) (pool.Endpoint, bool)
	// Endpoints returns all endpoints of a service.
	Endpoints(service string) []pool.Endpoint
	// ResetPath clears conclusions about endpoints that were due to a lost path.
	ResetPath(ids []string)
}

// Client establishes connections to endpoints.
type Client interface {
	// Probe establishes a connection, and keeps it for the next request.
	Probe(ctx context.Context, addr string, timeout time.Duration) error
	// CloseIdle closes the idle connections to an address.
	CloseIdle(addr string)
}

// Peers gives access to other instances.
type Peers interface {
	// Forwarders returns up to n instances to try.
	Forwarders(n int) []mesh.Peer
	// Tunnel has an instance connect to an endpoint.
	Tunnel(ctx context.Context, to mesh.Peer, req ConnectRequest) (net.Conn, error)
}

// Change is a change in how the endpoints of a service are reached.
type Change struct {
	Service   string
	From, To  State
	Reached   int           // probed endpoints that this instance reached
	Unreached int           // those that it did not reach
	Asked     int           // attempts of other instances to connect to the latter
	Answered  int           // responses to them so far
	Denied    int           // those of them that reach other endpoints of the service, but not these
	Confirmed []string      // IDs of endpoints that this instance did not reach and another one did
	Lasted    time.Duration // how long the previous state lasted
}

// Avoided reports that an instance did not forward a connection and is not used for a while.
type Avoided struct {
	Service  string
	Instance string
	Pause    time.Duration
	Cause    error
}

const (
	tickInterval   = 200 * time.Millisecond // between probes of lost paths
	stallTimeout   = 300 * time.Millisecond // silence of all endpoints of a service after which the path is checked
	probeTimeout   = 200 * time.Millisecond // for one connection; within a region it is established in some milliseconds
	probeCount     = 4                      // endpoints that are probed in one check
	verifyTimeout  = 300 * time.Millisecond // how long a request waits for other instances' confirmation
	checkLifetime  = 250 * time.Millisecond // how long the result of a check is used
	maxCut         = 64                     // endpoints of a service that are tracked one by one
	cutProbesATick = 4                      // of them that are probed at once

	// maxFurtherProbes is how many endpoints, beyond those of the check, are probed before a path counts as lost.
	maxFurtherProbes = 28
)

// Monitor is the service that tracks the paths to endpoints.
type Monitor struct {
	endpoints Endpoints
	client    Client
	peers     Peers
	now       func() time.Time
	random    func(n int) int
	onChange  func(Change)
	onDelay   func(time.Duration)
	onAvoided func(Avoided)

	ctx    context.Context //nolint:containedctx // ends checks on Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	services map[string]*service
}

// service is the state of the paths to one service's endpoints.
type service struct {
	state      State // of the path to endpoints that are not in cut
	since      time.Time
	checkedAt  time.Time
	check      *check          // in progress; nil: none
	unreached  []pool.Endpoint // by the last check that found the path lost
	cut        map[string]bool // endpoints, by ID, that others reach and this instance does not
	returning  bool            // probes of lost paths are in progress
	forwarders forwarders
}

// check is a check of the paths to a service's endpoints.
type check struct {
	suspect string        // endpoint that could not be reached; empty: none
	probed  chan struct{} // closed when this instance has probed the endpoints
	failing bool          // it reached less than half of them; valid after probed
	done    chan struct{} // closed when other instances have confirmed the result
}

// Option configures a Monitor.
type Option func(*Monitor)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(m *Monitor) { m.now = now } }

// WithRandom replaces the source of random numbers from 0 up to n, not including n.
func WithRandom(f func(n int) int) Option { return func(m *Monitor) { m.random = f } }

// OnChange sets the function that is called with each change of a service's state.
func OnChange(f func(Change)) Option { return func(m *Monitor) { m.onChange = f } }

// OnAvoided sets the function that is called when an instance did not forward a connection.
func OnAvoided(f func(Avoided)) Option { return func(m *Monitor) { m.onAvoided = f } }

// OnDelay sets the function that receives the time that other instances took to respond beyond what a direct connection
// may take, or for which they did not respond. It distinguishes a congested link of this instance from a lost path.
func OnDelay(f func(time.Duration)) Option { return func(m *Monitor) { m.onDelay = f } }

// New returns a Monitor by which all paths are direct.
func New(endpoints Endpoints, client Client, peers Peers, opts ...Option) *Monitor {
	m := &Monitor{
		endpoints: endpoints, client: client, peers: peers, now: time.Now, random: randomInt,
		onChange: func(Change) {}, onDelay: func(time.Duration) {}, onAvoided: func(Avoided) {}, services: make(map[string]*service),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Name implements kernel.Service.
func (*Monitor) Name() string { return "reach" }

// Run implements kernel.Service.
func (m *Monitor) Run(ctx context.Context) error {
	kernel.Every(ctx, tickInterval, func(context.Context) { m.tick() })
	return m.Close()
}

// Close ends checks in progress and waits for them.
func (m *Monitor) Close() error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
	return nil
}

// tick checks the paths that may be lost, and probes those that are.
func (m *Monitor) tick() {
	for _, name := range m.endpoints.Stalled(stallTimeout) {
		m.CheckSoon(name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.services {
		switch {
		case s.state == Lost:
			m.startCheck(name, "", checkLifetime)
		case s.state == Forwarded || len(s.cut) > 0:
			m.startReturn(name, s)
		}
	}
}

// State returns how this instance reaches an endpoint.
func (m *Monitor) State(name, endpoint string) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	switch {
	case s == nil:
		return Direct
	case s.state == Direct && s.cut[endpoint]:
		return Forwarded
	}
	return s.state
}

// ServiceState returns how this instance reaches most endpoints of a service.
func (m *Monitor) ServiceState(name string) State { return m.State(name, "") }

// AllLost reports whether this instance reaches no endpoint of any of the given services, neither itself nor through
// another instance. It is false if there are none.
func (m *Monitor) AllLost(services []string) bool {
	for _, name := range services {
		if m.ServiceState(name) != Lost {
			return false
		}
	}
	return len(services) > 0
}

// Verify checks the paths to a service's endpoints after one of them could not be reached. It returns how that one is
// reached now. It waits for other instances only if this one does not reach others either.
func (m *Monitor) Verify(ctx context.Context, name, endpoint string) State {
	m.mu.Lock()
	c := m.startCheck(name, endpoint, checkLifetime)
	m.mu.Unlock()
	if c == nil || !wait(ctx, c.probed) || !c.failing {
		return m.State(name, endpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	wait(ctx, c.done)
	return m.State(name, endpoint)
}

// Failing reports whether this instance reaches less than half of a service's endpoints that are probed now.
func (m *Monitor) Failing(ctx context.Context, name, endpoint string) bool {
	m.mu.Lock()
	c := m.startCheck(name, endpoint, 0)
	m.mu.Unlock()
	if c == nil {
		return m.ServiceState(name) != Direct
	}
	return wait(ctx, c.probed) && c.failing
}

// CheckSoon starts a check of the paths to a service's endpoints without waiting for it.
func (m *Monitor) CheckSoon(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startCheck(name, "", checkLifetime)
}

// wait waits until a channel is closed; it returns false if ctx ends before.
func wait(ctx context.Context, ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	}
}

// startCheck starts a check, unless one is in progress, the last one ended less than lifetime ago, or connections are
// forwarded already. It returns the check in progress; nil: there is none. The caller holds mu.
func (m *Monitor) startCheck(name, suspect string, lifetime time.Duration) *check {
	s := m.services[name]
	if s == nil {
		s = &service{since: m.now(), cut: make(map[string]bool)}
		m.services[name] = s
	}
	switch {
	case s.check != nil:
		return s.check
	case m.closed, s.state == Forwarded, !s.checkedAt.IsZero() && m.now().Sub(s.checkedAt) < lifetime:
		return nil
	}
	c := &check{suspect: suspect, probed: make(chan struct{}), done: make(chan struct{})}
	s.check = c
	m.wg.Go(func() {
		defer close(c.done)
		m.run(name, s, c)
	})
	return c
}

// run performs a check of a path that is direct or lost.
func (m *Monitor) run(name string, s *service, c *check) {
	began := m.now()
	reached, unreached := m.probeTargets(name, c)
	c.failing = len(unreached) > len(reached)
	close(c.probed)
	result := Change{Reached: len(reached), Unreached: len(unreached)}
	if len(unreached) > 0 {
		m.confirm(s, unreached, c.failing, &result)
	}
	switch {
	case c.failing && len(result.Confirmed) > 0:
		result.To = Forwarded
	case len(reached) > 0 || m.endpoints.ReceivedSince(name, began):
	case result.Answered == 0:
		m.reportSilence(result)
	case !m.reachesOthers(name, unreached, &result):
		result.To = Lost
	}
	m.settle(name, s, unreached, result)
}

// probeTargets probes some endpoints of a service. The suspect of the check has been tried already.
func (m *Monitor) probeTargets(name string, c *check) (reached, unreached []pool.Endpoint) {
	n := probeCount
	if e, ok := m.endpoints.Lookup(c.suspect); ok {
		unreached = append(unreached, e)
		n--
	}
	ok, failed := m.probe(m.endpoints.ProbeTargets(name, n, c.suspect))
	return ok, append(unreached, failed...)
}

// reachesOthers reports whether this instance reaches endpoints of a service other than those that it has probed, which
// may all have exited. It probes none if the path is lost already.
func (m *Monitor) reachesOthers(name string, probed []pool.Endpoint, c *Change) bool {
	if m.ServiceState(name) == Lost {
		return false
	}
	targets := m.endpoints.ProbeTargets(name, maxFurtherProbes+len(probed), "")
	targets = slices.DeleteFunc(targets, func(e pool.Endpoint) bool { return slices.ContainsFunc(probed, sameID(e)) })
	reached, failed := m.probe(targets[:min(maxFurtherProbes, len(targets))])
	c.Reached += len(reached)
	c.Unreached += len(failed)
	return len(reached) > 0
}

func sameID(e pool.Endpoint) func(pool.Endpoint) bool {
	return func(x pool.Endpoint) bool { return x.ID == e.ID }
}

// probe tries to reach endpoints, all at the same time.
func (m *Monitor) probe(list []pool.Endpoint) (reached, unreached []pool.Endpoint) {
	errs := make([]error, len(list))
	var g sync.WaitGroup
	for i, e := range list {
		g.Go(func() { errs[i] = m.client.Probe(m.ctx, e.Addr, probeTimeout) })
	}
	g.Wait()
	for i, e := range list {
		if errs[i] == nil {
			reached = append(reached, e)
		} else {
			unreached = append(unreached, e)
		}
	}
	return reached, unreached
}

// reportDelay reports how long a connection through another instance took.
func (m *Monitor) reportDelay(took time.Duration) { m.onDelay(max(0, took-probeTimeout)) }

// reportSilence reports that neither endpoints nor other instances responded. This does not show that the path to the
// endpoints is lost: the link of this instance may be congested or interrupted.
func (m *Monitor) reportSilence(c Change) {
	if c.Asked == 0 {
		return
	}
	for range c.Unreached {
		m.onDelay(forwardTimeout)
	}
}

// settle ends a check with its result. The result is visible from the moment on at which the check is no longer in
// progress.
func (m *Monitor) settle(name string, s *service, unreached []pool.Endpoint, c Change) {
	if c.To == Forwarded {
		m.abandonDirect(m.endpoints.Endpoints(name))
	}
	m.mu.Lock()
	s.check, s.checkedAt = nil, m.now()
	if c.To == Direct {
		m.markCut(s, unreached, c.Confirmed)
	} else {
		s.unreached = unreached
	}
	m.setState(name, s, &c)
	m.mu.Unlock()
	m.report(c)
}

// markCut records endpoints that only other instances reach. The caller holds mu.
func (m *Monitor) markCut(s *service, unreached []pool.Endpoint, confirmed []string) {
	var cut []pool.Endpoint
	for _, id := range confirmed {
		if s.cut[id] || len(s.cut) >= maxCut {
			continue
		}
		s.cut[id] = true
		for _, e := range unreached {
			if e.ID == id {
				cut = append(cut, e)
			}
		}
	}
	if len(cut) > 0 {
		m.abandonDirect(cut)
	}
}

// abandonDirect closes idle connections to endpoints, since they may be dead, and clears what was concluded about the
// endpoints.
func (m *Monitor) abandonDirect(list []pool.Endpoint) {
	ids := make([]string, 0, len(list))
	for _, e := range list {
		ids = append(ids, e.ID)
		m.client.CloseIdle(e.Addr)
	}
	m.endpoints.ResetPath(ids)
}

// setState changes the state of a service and completes the description of the change. The caller holds mu.
func (m *Monitor) setState(name string, s *service, c *Change) {
	now := m.now()
	c.Service, c.From, c.Lasted = name, s.state, now.Sub(s.since)
	if c.From != c.To {
		s.state, s.since = c.To, now
	}
}

// report calls the function that is set by OnChange, if there is a change.
func (m *Monitor) report(c Change) {
	if c.From != c.To {
		m.onChange(c)
	}
}
