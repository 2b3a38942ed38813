package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/intent"
)

const (
	customers          = 6
	budgetsPerCustomer = 4
	bigDeposit         = 5_000_000
	smallDeposit       = 9_000 // used up within the demo
	operatorTimeout    = 5 * time.Second
	operatorPause      = 100 * time.Millisecond // before a request that is refused for now is sent again
)

// operatorClient is a client of the intent API.
type operatorClient struct {
	f    *fleet
	http *http.Client

	mu      sync.Mutex
	latency []time.Duration // from a change's confirmation until it is in force everywhere
	changes int
	races   int
}

func newOperator(f *fleet) *operatorClient {
	return &operatorClient{f: f, http: &http.Client{Timeout: operatorTimeout}}
}

// problemError is a problem document that an instance returned.
type problemError struct{ p gateway.Problem }

// Error implements error.
func (e *problemError) Error() string { return fmt.Sprintf("%s: %s", e.p.Title, e.p.Detail) }

func (o *operatorClient) post(ctx context.Context, n *node, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encoding")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.in.OperatorsAddr()+path, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "creating a request")
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := o.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "sending an operator request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "reading an operator response")
	}
	if resp.StatusCode != http.StatusOK {
		var p gateway.Problem
		_ = json.Unmarshal(data, &p)
		return &problemError{p: p}
	}
	return json.Unmarshal(data, out)
}

// change plans and confirms an intent, and sends each request to the next instance in turn. It repeats the confirmation
// while the outcome is unknown.
func (o *operatorClient) change(ctx context.Context, in *intent.Intent) (*intent.Result, error) {
	p, err := o.plan(ctx, in)
	if err != nil {
		return nil, err
	}
	for {
		n, err := o.nextInstance()
		if err != nil {
			return nil, err
		}
		var res intent.Result
		sent := time.Now()
		err = o.post(ctx, n, "/v1/plans/"+p.ID+"/confirm", struct{}{}, &res)
		if err == nil && (res.State == intent.StateAccepted || res.State == intent.StateUnchanged) {
			o.recordLatency(ctx, sent, res.Version)
			return &res, nil
		}
		var pe *problemError
		if errors.As(err, &pe) && pe.p.RetryAfter == 0 {
			return nil, err
		}
		if werr := sleep(ctx, operatorPause); werr != nil {
			return nil, errors.Join(werr, err)
		}
	}
}

// plan makes a plan of an intent. It retries at the next instance while the refusals have a Retry-After.
func (o *operatorClient) plan(ctx context.Context, in *intent.Intent) (*intent.Plan, error) {
	for {
		n, err := o.nextInstance()
		if err != nil {
			return nil, err
		}
		var p intent.Plan
		if err = o.post(ctx, n, "/v1/intents", in, &p); err == nil {
			return &p, nil
		}
		var pe *problemError
		if !errors.As(err, &pe) || pe.p.RetryAfter == 0 {
			return nil, err
		}
		if werr := sleep(ctx, operatorPause); werr != nil {
			return nil, errors.Join(werr, err)
		}
	}
}

// nextInstance returns the live instances in turn.
func (o *operatorClient) nextInstance() (*node, error) {
	live := o.f.live("")
	if len(live) == 0 {
		return nil, eris.New("no instance is up")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes++
	return live[o.changes%len(live)], nil
}

func customerName(i int) string  { return fmt.Sprintf("customer-%d", i) }
func customerKey(i int) string   { return fmt.Sprintf("demo-key-%d", i) }
func budgetName(i, k int) string { return fmt.Sprintf("budget-%d-%d", i, k) }
func depositOf(i, k int) int64 {
	if i == 0 && k == 0 {
		return smallDeposit
	}
	return bigDeposit
}

// declarations returns the configuration with which the demo starts.
func (f *fleet) declarations() declare.Declarations {
	d := declare.Declarations{
		Zones:     map[string]declare.Zone{},
		Endpoints: map[string]declare.Endpoint{},
		Pools: map[string]declare.Pool{
			poolEngines: {Kind: declare.KindEngine, Model: modelName, Spill: true},
			poolPlain:   {Kind: declare.KindPlain, Spill: true},
		},
		Classes: map[string]declare.Class{
			"interactive": {Priority: 1, DeadlineMS: 8000, FirstTokenMS: 880, BetweenTokensMS: 36, Objective: 0.95},
			"batch":       {Priority: 5, DeadlineMS: 15000, FirstTokenMS: 5000, BetweenTokensMS: 200, Objective: 0.9},
		},
		Customers: map[string]declare.Customer{},
		Routes: map[string]declare.Route{
			"payments": {Path: "/payments", Pool: poolPlain, Tokens: 40, Repeatable: false},
			"accounts": {Path: "/accounts", Pool: poolPlain, Tokens: 5, Repeatable: true},
		},
	}
	for _, zone := range zoneNames {
		d.Zones[zone] = declare.Zone{Region: "demo"}
		d.Endpoints[zone+"-portal"] = declare.Endpoint{
			Zone: zone, URL: f.plainServers[zone].URL(), Pool: poolPlain, State: declare.StateActive, Capacity: 200,
		}
	}
	for _, e := range f.engines {
		d.Endpoints[e.name] = declare.Endpoint{
			Zone: e.zone, URL: e.srv.URL(), Pool: poolEngines, Version: "v1", State: declare.StateActive, Capacity: 32, ChecksFence: true,
		}
	}
	for i := range customers {
		d.Customers[customerName(i)] = declare.Customer{
			Budget: budgetName(i, 0),
			Keys:   map[string]declare.KeyRef{"main": {Hash: declare.HashKey(customerKey(i)), Class: "interactive"}},
		}
	}
	return d
}

func initialIntent(d declare.Declarations) *intent.Intent {
	in := &intent.Intent{Note: "the demo's beginning", Apply: d, Budgets: map[string]declare.Budget{}}
	for i := range customers {
		for k := range budgetsPerCustomer {
			in.Budgets[budgetName(i, k)] = declare.Budget{
				Customer: customerName(i), Deposits: map[string]int64{"opening": depositOf(i, k)},
			}
		}
	}
	return in
}

// setUp plans and confirms the first declarations and waits until they are in force everywhere.
func (o *operatorClient) setUp(ctx context.Context) error {
	res, err := o.change(ctx, initialIntent(o.f.declarations()))
	if err != nil {
		return eris.Wrap(err, "declaring the demo")
	}
	return o.awaitVersion(ctx, res.Version, o.f.live(""))
}

func (o *operatorClient) awaitVersion(ctx context.Context, version int64, nodes []*node) error {
	for _, n := range nodes {
		if err := n.in.Feed().Await(ctx, version); err != nil {
			return eris.Wrapf(err, "instance %s", n.id)
		}
	}
	return nil
}

// changePeriodically makes a small change at each interval, and records the time until it is in force everywhere.
func (o *operatorClient) changePeriodically(ctx context.Context, every time.Duration) {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		class := declare.Class{Priority: 5, DeadlineMS: int64(15000 + i), FirstTokenMS: 5000, BetweenTokensMS: 200, Objective: 0.9}
		in := &intent.Intent{Note: "tune a class", Apply: declare.Declarations{Classes: map[string]declare.Class{"batch": class}}}
		_, _ = o.change(ctx, in)
	}
}

const inForceTimeout = 3 * time.Second

// recordLatency waits until a version is in force everywhere, and records the time since its confirmation was sent.
func (o *operatorClient) recordLatency(ctx context.Context, start time.Time, version int64) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	if o.awaitVersion(ctx, version, o.f.live("")) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.latency = append(o.latency, time.Since(start))
}

// raceOperators lets two operators change the same object at once, repeatedly until ctx ends. Either one of them gets a
// conflict, or each has seen the other's change.
func (o *operatorClient) raceOperators(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		var wg sync.WaitGroup
		for k := range 2 {
			wg.Go(func() {
				class := declare.Class{Priority: 9, DeadlineMS: int64(20000 + 10*i + k), FirstTokenMS: 5000, BetweenTokensMS: 200, Objective: 0.9}
				_, _ = o.change(ctx, &intent.Intent{Apply: declare.Declarations{Classes: map[string]declare.Class{"race": class}}})
			})
		}
		wg.Wait()
		o.mu.Lock()
		o.races++
		o.mu.Unlock()
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}
