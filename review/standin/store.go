//go:build review

package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as DEPLOY.md and PROTOCOL.md state them.
const (
	maxWatchWait = 30 * time.Second
	pageItems    = 500
	maxTxn       = 32
)

// record is a key's value, or the removal of a key. Its JSON form is an item of the protocol.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// change is an entry of the store's history.
type change struct {
	record
	at time.Time
}

// store is a stand-in for the platform's metadata store. It keeps nothing secret from its tests: every write is logged.
type store struct {
	log      *recorder
	server   *http.Server
	addr     string
	writes   int           // writing calls a second that all nodes may make
	reads    int           // reading calls a second
	keepsFor time.Duration // length of the history

	mu       sync.Mutex
	revision int64
	items    map[string]record
	history  []change
	dropped  int64         // history up to this revision is gone
	changed  chan struct{} // closed and replaced at each change
	written  []time.Time   // times of the writing calls of the last second
	read     []time.Time   // times of the reading calls of the last second
	lost     float64       // share of the writes that are done and not answered
	slow     time.Duration // added to each answer
	lostN    int           // writes that were done and not answered
	doneN    int           // writes that were done while answers were lost
}

// newStore starts a store on a free port of an address.
func newStore(log *recorder, host string, writes, reads int) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{log: log, addr: l.Addr().String(), writes: writes, reads: reads, keepsFor: 20 * time.Second, revision: 100, items: make(map[string]record), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// setLost sets the share of the writes that are done and not answered.
func (s *store) setLost(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// lostAnswers returns how many writes were done while answers were lost, and how many of them were not answered.
func (s *store) lostAnswers() (done, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doneN, s.lostN
}

// put writes a key for the operator or an engine. It returns the revision.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the callers pass maps of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(key, b)
	s.notify()
	return s.revision
}

// remove removes a key for an engine.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.drop(key)
	s.notify()
}

// apply writes a key at the current revision. The caller holds mu.
func (s *store) apply(key string, value []byte) {
	r := record{Key: key, Value: value, Revision: s.revision, Made: s.revision}
	if old, ok := s.items[key]; ok {
		r.Made = old.Made
	}
	s.items[key] = r
	s.history = append(s.history, change{record: r, at: time.Now()})
}

// drop removes a key at the current revision. The caller holds mu.
func (s *store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, change{record: record{Key: key, Revision: s.revision, Gone: true}, at: time.Now()})
}

// notify wakes the watches and drops old history. The caller holds mu.
func (s *store) notify() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > s.keepsFor {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and reports whether it is within the rate. It answers 429 if not.
func (s *store) admit(w http.ResponseWriter, calls *[]time.Time, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(*calls) > 0 && now.Sub((*calls)[0]) > time.Second {
		*calls = (*calls)[1:]
	}
	if len(*calls) >= most {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	*calls = append(*calls, now)
	return true
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, &s.read, s.reads) {
		return
	}
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		record
		At int64 `json:"at"`
	}{it, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, &s.read, s.reads) {
		return
	}
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []record{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, &s.read, s.reads) {
		return
	}
	prefix := r.URL.Query().Get("pathPrefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for {
		events, at, gone, changed := s.since(prefix, after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": []record{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes under a prefix after a revision. gone is set if the history does not reach back that far.
func (s *store) since(prefix string, after int64) (events []record, at int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return nil, 0, true, nil
	}
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			events = append(events, c.record)
		}
	}
	at = s.revision
	if len(events) > pageItems {
		events = events[:pageItems]
		at = events[pageItems-1].Revision
	}
	return events, at, false, s.changed
}

// txn is the body of a transaction.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRevision"`
	Put []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"put"`
	Delete []string `json:"delete"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, &s.written, s.writes) {
		return
	}
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Put)+len(t.Delete) > maxTxn {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if foreign(t) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	revision, conflict, silent := s.commit(t)
	if silent {
		s.log.line("store: write %d of %s is done and not answered: %s", revision, r.RemoteAddr, keysOf(t))
		<-r.Context().Done() // this connection says nothing further
		return
	}
	if conflict != nil {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": conflict})
		return
	}
	reply(w, http.StatusOK, map[string]any{"revision": revision})
}

// keysOf returns the keys that a transaction writes.
func keysOf(t txn) string {
	keys := append([]string{}, t.Delete...)
	for _, p := range t.Put {
		keys = append(keys, p.Key)
	}
	return strings.Join(keys, " ")
}

// foreign reports whether a transaction writes keys that are not the system's.
func foreign(t txn) bool {
	for k := range strings.FieldsSeq(keysOf(t)) {
		if strings.HasPrefix(k, "op/") || strings.HasPrefix(k, "servers/") {
			return true
		}
	}
	return false
}

// commit does a transaction, all or nothing. A conflict has the current items of the conditions. silent is set if the
// transaction is done and its answer is to be lost.
func (s *store) commit(t txn) (revision int64, conflict []record, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []record{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		return 0, current, false
	}
	s.revision++
	for _, p := range t.Put {
		s.apply(p.Key, p.Value)
	}
	for _, k := range t.Delete {
		s.drop(k)
	}
	s.notify()
	if s.lost > 0 {
		s.doneN++
		if rand.Float64() < s.lost { //nolint:gosec // a test
			s.lostN++
			return s.revision, nil, true
		}
	}
	return s.revision, nil, false
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
