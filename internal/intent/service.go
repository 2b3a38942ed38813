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

// ServiceName is the planner's name in the kernel.
const ServiceName = "intent"

// KindStatus asks an instance what it has in force and in progress.
const KindStatus mesh.Kind = "intent.status"

const (
	planPrefix    = "plan/"
	planLife      = time.Hour
	casTries      = 20
	retryPause    = 10 * time.Millisecond
	statusTimeout = 700 * time.Millisecond
	statusLimit   = 64
)

// Status is one instance's answer.
type Status struct {
	Peer     mesh.Peer      `cbor:"1,keyasint"`
	Version  int64          `cbor:"2,keyasint"`
	InFlight map[string]int `cbor:"3,keyasint"`
}

// Feed is what the planner uses of the configuration feed.
type Feed interface {
	Document() *declare.Document
	Adopt(data []byte, rev int64) error
}

// Members is what the planner uses of the membership view.
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

// Option changes a Service.
type Option func(*Service)

// WithHook sets the hook that is called at each step.
func WithHook(h step.Hook) Option { return func(s *Service) { s.hook = h } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(s *Service) { s.log = log } }

// New makes a planner and registers its message. inFlight reports this instance's work in progress by endpoint.
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

// Run implements kernel.Service; the planner only answers.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *Service) status() Status {
	return Status{Peer: s.members.Self(), Version: s.feed.Document().Version, InFlight: s.inFlight()}
}

// Statuses asks every instance of the fleet. Those that do not answer are returned as unseen.
func (s *Service) Statuses(ctx context.Context) (seen []Status, unseen []mesh.Peer) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, statusLimit)
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

// Plan answers what an intent would change. It stores the plan, so that any instance can confirm it.
func (s *Service) Plan(ctx context.Context, in *Intent) (*Plan, error) {
	if err := s.hook(ctx, step.Plan); err != nil {
		return nil, err
	}
	ctx = external.WithDuty(ctx, external.DutyPlan)
	doc, _, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	p, err := s.derive(ctx, doc, in)
	if err != nil {
		return nil, err
	}
	if err := s.keep(ctx, p); err != nil {
		return nil, err
	}
	s.log.Info().Str("event", "plan_made").Str("plan", p.ID).Int("changes", len(p.Changes)).Msg("plan made")
	return p, nil
}

func (s *Service) derive(ctx context.Context, doc *declare.Document, in *Intent) (*Plan, error) {
	target, err := Target(doc.Decl, in)
	if err != nil {
		return nil, faulty(err)
	}
	changes, err := declare.Diff(doc.Decl, target)
	if err != nil {
		return nil, err
	}
	Explain(changes)
	wanted, err := Deposits(in, target)
	if err != nil {
		return nil, faulty(err)
	}
	deposits, err := s.missing(ctx, wanted)
	if err != nil {
		return nil, err
	}
	p := &Plan{ID: ulid.Make().String(), Note: in.Note, BaseVersion: doc.Version, Changes: changes, Deposits: deposits}
	s.observe(ctx, p)
	return p, nil
}

func faulty(err error) error {
	var faults declare.Faults
	if errors.As(err, &faults) && len(faults) > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, faults.Error(), verdict.WithField(faults[0].Path))
	}
	return err
}

// missing drops the deposits that have been made already.
func (s *Service) missing(ctx context.Context, wanted []Deposit) ([]Deposit, error) {
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

// observe notes the work that drains wait for and who could not be asked.
func (s *Service) observe(ctx context.Context, p *Plan) {
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

// keep writes the plan under a lease; its key is new, so a write whose answer was lost can be repeated.
func (s *Service) keep(ctx context.Context, p *Plan) error {
	data, err := json.Marshal(p)
	if err != nil {
		return eris.Wrap(err, "encoding the plan")
	}
	lease, err := s.store.Lease(ctx, planLife)
	if err != nil {
		return unavailable(err)
	}
	for range casTries {
		_, err = s.store.Put(ctx, planPrefix+p.ID, data, 0, lease)
		if err == nil || errors.Is(err, external.ErrConflict) {
			return nil
		}
		if e, gerr := s.store.Get(ctx, planPrefix+p.ID); gerr == nil && e.Revision != 0 {
			return nil // the answer was lost, the plan is there
		}
		if !pause(ctx) {
			break
		}
	}
	return unavailable(err)
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(retryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// Lookup reads a plan. A plan that was never made, or has lapsed, is NotFound.
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
