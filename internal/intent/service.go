package intent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ServiceName is the name of the Service in the kernel.
const ServiceName = "intent"

// KindStatus requests the Status of an instance.
const KindStatus mesh.Kind = "intent.status"

const (
	planPrefix     = "plan/"
	planTTL        = time.Hour
	maxCASAttempts = 20
	retryPause     = 10 * time.Millisecond
	statusTimeout  = 700 * time.Millisecond
	maxStatusCalls = 64
)

// Status is the configuration version in force at an instance and its requests in progress by endpoint.
type Status struct {
	Peer     mesh.Peer      `cbor:"1,keyasint"`
	Version  int64          `cbor:"2,keyasint"`
	InFlight map[string]int `cbor:"3,keyasint"`
}

// Feed is the part of the configuration feed that a Service uses.
type Feed interface {
	Document() *declare.Document
	Adopt(data []byte, rev int64) error
}

// Members is the part of the membership view that a Service uses.
type Members interface {
	Self() mesh.Peer
	Fleet() []mesh.Peer
}

// Service makes and confirms plans.
type Service struct {
	store    external.Store
	feed     Feed
	members  Members
	caller   mesh.Caller
	inFlight func() map[string]int
	hook     step.Hook
	log      zerolog.Logger
}

// Option configures a Service.
type Option func(*Service)

// WithHook sets the hook that is called at each step.
func WithHook(h step.Hook) Option { return func(s *Service) { s.hook = h } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(s *Service) { s.log = log } }

// New returns a Service and registers its message handler. inFlight returns this instance's requests in progress by
// endpoint.
func New(store external.Store, feed Feed, m Members, c mesh.Caller, r *mesh.Router, inFlight func() map[string]int, opts ...Option) *Service {
	s := &Service{store: store, feed: feed, members: m, caller: c, inFlight: inFlight, hook: step.None, log: zerolog.Nop()}
	for _, opt := range opts {
		opt(s)
	}
	mesh.Handle(r, KindStatus, func(context.Context, mesh.Peer, mesh.Empty) (Status, error) {
		return s.status(), nil
	})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Run implements kernel.Service. It only waits, because a Service has no background work.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *Service) status() Status {
	return Status{Peer: s.members.Self(), Version: s.feed.Document().Version, InFlight: s.inFlight()}
}

// Statuses requests the status of every instance of the fleet. It returns instances that do not respond in time as unseen.
func (s *Service) Statuses(ctx context.Context) (seen []Status, unseen []mesh.Peer) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxStatusCalls)
	for _, p := range s.members.Fleet() {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			st, err := mesh.Call[mesh.Empty, Status](ctx, s.caller, p.Addr, KindStatus, mesh.Empty{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unseen = append(unseen, p)
				return
			}
			seen = append(seen, st)
		})
	}
	wg.Wait()
	return seen, unseen
}

// Plan derives a plan from an intent and stores it, so that any instance can confirm it.
func (s *Service) Plan(ctx context.Context, in *Intent) (*Plan, error) {
	if err := s.hook(ctx, step.Plan); err != nil {
		return nil, err
	}
	ctx = external.WithDuty(ctx, external.DutyPlan)
	doc, _, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	p, err := s.buildPlan(ctx, doc, in)
	if err != nil {
		return nil, err
	}
	if err := s.savePlan(ctx, p); err != nil {
		return nil, err
	}
	s.log.Info().Str("event", "plan_made").Str("plan", p.ID).Int("changes", len(p.Changes)).Msg("plan made")
	return p, nil
}

func (s *Service) buildPlan(ctx context.Context, doc *declare.Document, in *Intent) (*Plan, error) {
	target, err := Target(doc.Decl, in)
	if err != nil {
		return nil, badRequest(err)
	}
	changes, err := declare.Diff(doc.Decl, target)
	if err != nil {
		return nil, err
	}
	Explain(changes)
	wanted, err := Deposits(in, target)
	if err != nil {
		return nil, badRequest(err)
	}
	deposits, err := s.missingDeposits(ctx, wanted)
	if err != nil {
		return nil, err
	}
	p := &Plan{ID: ulid.Make().String(), Note: in.Note, BaseVersion: doc.Version, Changes: changes, Deposits: deposits}
	s.addFleetStatus(ctx, p)
	return p, nil
}

func badRequest(err error) error {
	var faults declare.Faults
	if errors.As(err, &faults) && len(faults) > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, faults.Error(), verdict.WithField(faults[0].Path))
	}
	return err
}

// missingDeposits returns the deposits that have not been made yet.
func (s *Service) missingDeposits(ctx context.Context, wanted []Deposit) ([]Deposit, error) {
	pages := make(map[uint16]*budget.Page)
	var out []Deposit
	for _, d := range wanted {
		n := budget.PageOf(d.Budget)
		if pages[n] == nil {
			e, err := s.store.Get(ctx, budget.PageKey(n))
			if err != nil {
				return nil, unavailable(err)
			}
			if pages[n], err = budget.DecodePage(e); err != nil {
				return nil, err
			}
		}
		row, err := pages[n].Row(d.Budget)
		if err != nil {
			out = append(out, d)
			continue
		}
		if row.Customer != d.Customer {
			return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "the budget belongs to another customer",
				verdict.WithField("budgets/"+d.Budget+"/customer"))
		}
		if _, ok := row.Deposits[d.ID]; !ok {
			out = append(out, d)
		}
	}
	return out, nil
}

// addFleetStatus adds to a plan the work in progress at its endpoints and the instances that did not respond.
func (s *Service) addFleetStatus(ctx context.Context, p *Plan) {
	seen, unseen := s.Statuses(ctx)
	total := make(map[string]int)
	for _, st := range seen {
		for e, n := range st.InFlight {
			total[e] += n
		}
	}
	for _, c := range p.Changes {
		if name, ok := endpointOf(c); ok && total[name] > 0 {
			p.WaitsFor = append(p.WaitsFor, Work{Endpoint: name, InFlight: total[name]})
		}
	}
	for _, peer := range unseen {
		p.Unseen = append(p.Unseen, peer.Zone+"/"+peer.ID)
	}
}

// endpointOf returns the endpoint that a change alters or removes.
func endpointOf(c declare.Change) (string, bool) {
	const prefix = "endpoints/"
	if c.Op == declare.OpAdd || len(c.Path) <= len(prefix) || c.Path[:len(prefix)] != prefix {
		return "", false
	}
	return c.Path[len(prefix):], true
}

func unavailable(err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store cannot be asked now",
		verdict.WithRetryAfter(2*time.Second), verdict.WithCause(err))
}

// current reads the document and its revision from the store. Before the first configuration, both are zero.
func (s *Service) current(ctx context.Context) (*declare.Document, int64, error) {
	e, err := s.store.Get(ctx, declare.Key)
	if err != nil {
		return nil, 0, unavailable(err)
	}
	if e.Revision == 0 {
		return &declare.Document{}, 0, nil
	}
	doc, err := declare.DecodeDocument(e.Data)
	if err != nil {
		return nil, 0, err
	}
	_ = s.feed.Adopt(e.Data, e.Revision)
	return doc, e.Revision, nil
}

// savePlan writes the plan under a lease. Its key is unique, so that a write can be repeated if its response is lost.
func (s *Service) savePlan(ctx context.Context, p *Plan) error {
	data, err := json.Marshal(p)
	if err != nil {
		return eris.Wrap(err, "encoding the plan")
	}
	lease, err := s.store.Lease(ctx, planTTL)
	if err != nil {
		return unavailable(err)
	}
	for range maxCASAttempts {
		_, err = s.store.Put(ctx, planPrefix+p.ID, data, 0, lease)
		if err == nil || errors.Is(err, external.ErrConflict) {
			return nil
		}
		if e, gerr := s.store.Get(ctx, planPrefix+p.ID); gerr == nil && e.Revision != 0 {
			return nil // the response was lost, but the write succeeded
		}
		if !waitRetry(ctx) {
			break
		}
	}
	return unavailable(err)
}

// waitRetry waits until the next attempt. It returns false if ctx ends first.
func waitRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// Lookup reads a plan. It returns verdict.CodeNotFound for a plan that does not exist or has expired.
func (s *Service) Lookup(ctx context.Context, id string) (*Plan, error) {
	if _, err := ulid.ParseStrict(id); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no plan has this id", verdict.WithField("id"))
	}
	e, err := s.store.Get(external.WithDuty(ctx, external.DutyPlan), planPrefix+id)
	if err != nil {
		return nil, unavailable(err)
	}
	if e.Revision == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "the plan does not exist or has lapsed", verdict.WithField("id"))
	}
	var p Plan
	return &p, eris.Wrap(json.Unmarshal(e.Data, &p), "decoding the plan")
}
