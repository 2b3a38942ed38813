package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/instance"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/settings"
	"github.com/ledgemount/ledgemount/internal/standin"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/standin/list"
)

const (
	benchModel      = "bench"
	benchFirstToken = 5 * time.Millisecond
	benchPerToken   = time.Millisecond
	benchOperator   = "bench-operator"
	startupWait     = 1500 * time.Millisecond
)

// testbed consists of one engine, the platform's stand-ins and two instances on loopback. There are two instances so that
// the budget's holder is not the serving instance, as in production.
type testbed struct {
	engine     *engine.Engine
	kv         *kv.Server
	servers    []*standin.Server
	instances  []*instance.Instance
	done       []chan struct{}
	engineURL  string
	callersURL string
}

// startTestbed starts a testbed. opts are options of the instance that serves callers.
func startTestbed(opts ...instance.Option) (*testbed, error) {
	tb := &testbed{engine: engine.New(benchModel, engine.WithTimes(benchFirstToken, benchPerToken), engine.WithCapacity(100_000), engine.WithoutLog()), kv: kv.New()}
	var urls []string
	l := list.New()
	for _, h := range []http.Handler{tb.engine.Handler(), tb.kv.Handler(), l.Handler()} {
		s, err := standin.Serve("127.0.0.1:0", h)
		if err != nil {
			return nil, err
		}
		tb.servers = append(tb.servers, s)
		urls = append(urls, s.URL())
	}
	tb.engineURL = urls[0]
	ca, err := mesh.NewAuthority()
	if err != nil {
		return nil, err
	}
	for i, id := range []string{"bench-1", "bench-2"} {
		if i > 0 {
			opts = nil
		}
		in, err := startInstance(ca, id, urls[1], urls[2], opts...)
		if err != nil {
			return nil, err
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = in.Run(context.Background())
		}()
		tb.instances, tb.done = append(tb.instances, in), append(tb.done, done)
		l.Set(external.Instance{ID: id, Zone: "zone", Addr: in.Peer().Addr, State: external.StateLive})
	}
	tb.callersURL = "http://" + tb.instances[0].CallersAddr()
	time.Sleep(startupWait)
	return tb, tb.applyConfig()
}

func startInstance(ca *mesh.Authority, id, store, list string, opts ...instance.Option) (*instance.Instance, error) {
	cert, key, err := ca.Issue(id)
	if err != nil {
		return nil, err
	}
	set := settings.Defaults()
	set.Instance = settings.Instance{ID: id, Zone: "zone"}
	set.Callers.Listen, set.Operators.Listen, set.Mesh.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.Operators.Keys = map[string]string{"bench": declare.HashKey(benchOperator)}
	set.Mesh.CA, set.Mesh.Cert, set.Mesh.Key = string(ca.PEM()), string(cert), string(key)
	set.Platform.StoreURL, set.Platform.InstancesURL = store, list
	return instance.New(&set, opts...)
}

// applyConfig plans and confirms the testbed's configuration.
func (tb *testbed) applyConfig() error {
	in := intent.Intent{
		Apply: declare.Declarations{
			Zones: map[string]declare.Zone{"zone": {Region: "region"}},
			Pools: map[string]declare.Pool{"bench": {Kind: declare.KindEngine, Model: benchModel}},
			Endpoints: map[string]declare.Endpoint{
				"engine": {Zone: "zone", URL: tb.engineURL, Pool: "bench", State: declare.StateActive, Capacity: 50_000, ChecksFence: true},
			},
			Classes: map[string]declare.Class{
				"c": {Priority: 1, DeadlineMS: 60_000, FirstTokenMS: 880, BetweenTokensMS: 36, Objective: 0.95},
			},
			Customers: map[string]declare.Customer{
				"customer": {Budget: "budget", Keys: map[string]declare.KeyRef{"k": {Hash: declare.HashKey(callerKey), Class: "c"}}},
			},
		},
		Budgets: map[string]declare.Budget{"budget": {Customer: "customer", Deposits: map[string]int64{"opening": 1 << 45}}},
	}
	var p intent.Plan
	if err := tb.post("/v1/intents", in, &p); err != nil {
		return err
	}
	var r intent.Result
	return tb.post("/v1/plans/"+p.ID+"/confirm", struct{}{}, &r)
}

func (tb *testbed) post(path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encoding")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+tb.instances[0].OperatorsAddr()+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "creating a request")
	}
	req.Header.Set("Authorization", "Bearer "+benchOperator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "sending a request to an instance")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: status %d: %s", path, resp.StatusCode, body)
	}
	return json.Unmarshal(body, out)
}

func (tb *testbed) close() {
	for i, in := range tb.instances {
		in.Kill()
		<-tb.done[i]
	}
	for _, s := range tb.servers {
		_ = s.Close()
	}
	tb.kv.Close()
}
