package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the platform's protocol spells it. Value is base64.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is a stand-in of the platform's metadata store, without leases, which no case needs.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{items: make(map[string]item), changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, reply := s.serve(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// door is an address at which the store is served.
type door struct {
	addr   string
	server *http.Server
}

// open serves the store on a loopback address.
func (s *store) open(host string) *door {
	l := listen(host)
	d := &door{addr: l.Addr().String(), server: &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}}
	go func() { _ = d.server.Serve(l) }()
	return d
}

// close ends the door with its connections.
func (d *door) close() { _ = d.server.Close() }

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRevision"`
	Put []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	} `json:"put"`
	Delete []string `json:"delete"`
}

const pageItems = 500

func (s *store) serve(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"at": s.revision}
		}
		return http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "made": i.Made, "lease": 0, "at": s.revision}
	case "/-/kv-range":
		return s.list(q.Get("pathPrefix"), q.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		return s.watch(r, q.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	case "/-/kv-txn":
		var t txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return http.StatusBadRequest, map[string]string{}
		}
		return s.commit(t)
	}
	return http.StatusNotFound, map[string]string{}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	return http.StatusOK, map[string]any{"items": items, "more": more, "at": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events, changed, at := []item{}, s.changed, s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "at": at}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
	}
}

func (s *store) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	current := []item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		held = held && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	s.revision++
	for _, p := range t.Put {
		s.put(p.Key, p.Value)
	}
	for _, k := range t.Delete {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.revision, Gone: true})
		}
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// put writes a key at the current revision. The caller holds mu.
func (s *store) put(key, value string) {
	i := item{Key: key, Value: value, Revision: s.revision, Made: s.revision}
	if before, ok := s.items[key]; ok {
		i.Made = before.Made
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a value as the operator or an engine does.
func (s *store) write(key string, v any) {
	raw, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, base64.StdEncoding.EncodeToString(raw))
	s.notify()
}
