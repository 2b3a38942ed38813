package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the small deployment of a case.
const (
	host         = "api.example"
	modelService = "models"
	plainService = "portal"
)

// world is a small deployment: routers as processes, and stand-ins of the store, the engines and the clients.
type world struct {
	dir     string
	j       *journal
	store   *store
	door    *door
	routers []*router
	engines []*engine
	plain   []*engine

	mu      sync.Mutex
	version int64
	prepaid map[string]int64
	keys    map[string]string // tenants by key
	revoked string            // the key that was taken away
	stop    atomic.Bool
	clients sync.WaitGroup
	number  atomic.Int64
	// deadline is that of plain requests.
	deadline time.Duration
}

func newWorld(record string, routers, engines, plain int) *world {
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		fail("making a folder: %v", err)
	}
	w := &world{dir: dir, j: newJournal(record), store: newStore(), prepaid: map[string]int64{}, keys: map[string]string{}, deadline: 4 * time.Second}
	for i := range engines {
		e := newEngine(w.j, fmt.Sprintf("i-model%d", i), modelService, zones[i%len(zones)], hostOf(100+i))
		e.record(w.store, "ready")
		w.engines = append(w.engines, e)
	}
	for i := range plain {
		e := newEngine(w.j, fmt.Sprintf("i-plain%d", i), plainService, zones[i%len(zones)], hostOf(150+i))
		e.pause = 30 * time.Millisecond
		e.record(w.store, "ready")
		w.plain = append(w.plain, e)
	}
	w.door = w.store.open(hostOf(200))
	for i := range routers {
		w.routers = append(w.routers, newRouter(dir, i, w.door.addr))
	}
	return w
}

// revoke takes the key of a tenant away, from the next configuration on.
func (w *world) revoke(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revoked = key
}

// tenant adds a tenant with a key.
func (w *world) tenant(name string, prepaid int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prepaid[name] = prepaid
	w.keys["key-"+name] = name
}

// configure writes the next configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	var tenants []map[string]any
	for key, name := range w.keys {
		keys := []string{key}
		if key == w.revoked {
			keys = []string{}
		}
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1, "prepaid": w.prepaid[name]})
	}
	sort.Slice(tenants, func(a, b int) bool { return tenants[a]["name"].(string) < tenants[b]["name"].(string) })
	route := func(name, prefix, kind, service string, attempts, timeout int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": 800, "priority": 1, "service": service,
			"maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	w.store.write("op/config", map[string]any{
		"version": w.version,
		"routes": []any{
			route("draft", "/draft/", "streaming", modelService, 2, 15000, map[string]any{"resumable": true, "targetGapMs": 400}),
			route("summary", "/summary/", "streaming", modelService, 1, 15000, map[string]any{"targetGapMs": 400}),
			route("pay", "/pay/", "unsafe", plainService, 1, 2000, nil),
			route("look", "/look/", "safe", plainService, 2, 2000, nil),
		},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacity": 562615, "stride": 5, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

// start starts all routers and waits until they are ready.
func (w *world) start() {
	for _, r := range w.routers {
		r.start()
	}
	for _, r := range w.routers {
		if !r.awaitReady(20 * time.Second) {
			w.close()
			fail("%s is not ready", r.node)
		}
	}
	w.j.note("%d routers are ready", len(w.routers))
}

// close ends all processes.
func (w *world) close() {
	w.stop.Store(true)
	for _, r := range w.routers {
		if r.cmd != nil {
			r.kill()
		}
	}
	w.clients.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// next makes a request of a random kind.
func (w *world) next(r *rand.Rand, kinds string, key string) request {
	n := w.number.Add(1)
	q := request{id: fmt.Sprintf("%08x%08x", n, r.Uint32()), key: key, method: http.MethodPost, deadline: w.deadline}
	switch kinds[r.IntN(len(kinds))] {
	case 'd':
		q.path, q.in, q.out, q.deadline = "/draft/x", 200+r.IntN(400), 60+r.IntN(160), 15*time.Second
	case 's':
		q.path, q.in, q.out, q.deadline = "/summary/x", 100+r.IntN(200), 60+r.IntN(160), 15*time.Second
	case 'p':
		q.path, q.body = "/pay/x", strings.Repeat("b", 600)
	case 'l':
		q.path, q.method = "/look/x", http.MethodGet
	}
	if q.out > 0 {
		q.parts = fmt.Sprintf("a%d:100,%s:%d", r.IntN(3), q.id, max(1, q.in-100))
		q.body = strings.Repeat("t", q.in)
	}
	return q
}

// client sends requests on kept connections, to one router at a time, until the case stops.
func (w *world) client(seed uint64, kinds, key string, pick func(*rand.Rand) *router, rest time.Duration) {
	w.clients.Go(func() {
		rnd := rand.New(rand.NewPCG(seed, 7))
		var k *kept
		var at *router
		for !w.stop.Load() {
			if k == nil {
				at = pick(rnd)
				var err error
				if k, err = dial(at.front); err != nil {
					k = nil
					time.Sleep(50 * time.Millisecond)
					continue
				}
			}
			if _, ok := k.exchange(w.j, w.next(rnd, kinds, key), at.node); !ok {
				_ = k.conn.Close()
				k = nil
			}
			time.Sleep(time.Duration(rnd.Int64N(int64(rest) + 1)))
		}
		if k != nil {
			_ = k.conn.Close()
		}
	})
}

// any picks a router at random.
func (w *world) any(r *rand.Rand) *router { return w.routers[r.IntN(len(w.routers))] }

// audit checks the rules that hold for every machine at every time, and returns what is broken.
func (w *world) audit() (broken []string) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs, sent := map[string][]run{}, map[string]answer{}
	for _, r := range w.j.runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	used := map[string]int64{}
	statuses := map[string]int{}
	for _, a := range w.j.answers {
		sent[a.ID] = a
		list := runs[a.ID]
		tenant := w.keys[a.Key]
		kind := strings.Split(a.Path, "/")[1]
		what := fmt.Sprint(kind, " ", a.Status)
		if a.Status == 0 {
			what += " " + strings.SplitN(a.Error, ":", 2)[0]
		} else if !a.Whole {
			what += " cut"
		}
		statuses[what]++
		if a.Problem != "" {
			add("%s %s", a.ID, a.Problem)
		}
		idempotent := kind == "look" || kind == "draft"
		if !idempotent && len(list) > 1 {
			add("TWICE: %s ran %d times", a.ID, len(list))
		}
		promise := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
		if !idempotent && promise && len(list) > 0 {
			add("REFUSED: %s got %d and ran", a.ID, a.Status)
		}
		if a.Status/100 == 2 {
			stamped := false
			for _, r := range list {
				stamped = stamped || a.Stamp == "stamp-"+r.Engine
			}
			if !stamped || a.AnswerID != a.ID {
				add("MIXED: %s got 200 with stamp %q and id %q", a.ID, a.Stamp, a.AnswerID)
			}
			if a.Out == 0 && a.Whole && a.Body != answerText(a.ID, strings.TrimPrefix(a.Stamp, "stamp-")) {
				add("MIXED: %s got the body %.80q", a.ID, a.Body)
			}
		}
		if a.Events > 0 {
			used[tenant] += int64(a.In + a.Events*5)
		}
	}
	for id, list := range runs {
		a, ok := sent[id]
		for _, r := range list {
			switch {
			case !ok:
				add("UNASKED: %s", id)
			case r.Tenant != w.keys[a.Key] || r.Key != "":
				add("UNASKED: %s ran for tenant %q of key %q, key passed on %q", id, r.Tenant, a.Key, r.Key)
			}
		}
	}
	for name, n := range used {
		if n > w.prepaid[name] {
			add("BUDGET: %s got %d tokens of %d prepaid", name, n, w.prepaid[name])
		}
	}
	names := make([]string, 0, len(statuses))
	for k := range statuses {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Printf("       %-28s %d\n", k, statuses[k])
	}
	fmt.Println("       used", used, "of", w.prepaid)
	return broken
}
