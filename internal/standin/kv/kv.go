// Package kv is a stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway.
package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/etcdstore"
	"github.com/ledgemount/ledgemount/internal/standin"
)

// Fault is one way in which the service can fail.
type Fault string

// The faults.
const (
	Down         Fault = "down"        // closes the connection of every call, and ends watches
	Slow         Fault = "slow"        // responds late
	ResponseLost Fault = "answer-lost" // applies some writes without sending a response
)

const (
	slowDelay     = 150 * time.Millisecond
	defaultLost   = 3
	leaseInterval = 100 * time.Millisecond
	maxBody       = 4 << 20
)

type record struct {
	value []byte
	rev   int64
	lease int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Server is the stand-in. It stores everything in memory.
type Server struct {
	standin.Switches[Fault]

	mu       sync.Mutex
	rev      int64
	nextID   int64
	records  map[string]record
	leases   map[int64]*lease
	watchers map[*watcher]struct{}

	reads, writes, lossCandidates atomic.Int64
	lostEvery                     int64
	closed                        chan struct{}
	once                          sync.Once
}

type watcher struct {
	key string
	ch  chan external.Entry
}

// Option changes a Server.
type Option func(*Server)

// WithLostEvery makes the ResponseLost fault drop the response to every n-th transaction.
func WithLostEvery(n int64) Option { return func(s *Server) { s.lostEvery = n } }

// New makes an empty service.
func New(opts ...Option) *Server {
	s := &Server{
		lostEvery: defaultLost,
		records:   make(map[string]record),
		leases:    make(map[int64]*lease),
		watchers:  make(map[*watcher]struct{}),
		closed:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	go s.expire()
	return s
}

// Close stops the service's background work and its watches.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Reads returns the number of reads served so far.
func (s *Server) Reads() int64 { return s.reads.Load() }

// Writes returns the number of writes served so far.
func (s *Server) Writes() int64 { return s.writes.Load() }

// Handler serves the gateway's paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(etcdstore.PathRange, s.guard(&s.reads, s.serveRange))
	mux.HandleFunc(etcdstore.PathTxn, s.guard(&s.writes, s.serveTxn))
	mux.HandleFunc(etcdstore.PathLease, s.guard(&s.writes, s.serveLease))
	mux.HandleFunc(etcdstore.PathKeepAlive, s.guard(&s.writes, s.serveKeepAlive))
	mux.HandleFunc(etcdstore.PathWatch, s.guard(&s.reads, s.serveWatch))
	return mux
}

// guard applies the Down and Slow faults, and counts the call.
func (s *Server) guard(count *atomic.Int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.On(Down) {
			closeConnection(w)
			return
		}
		if s.On(Slow) {
			time.Sleep(slowDelay)
		}
		count.Add(1)
		next(w, r)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	if hj, ok := w.(http.Hijacker); ok {
		if conn, _, err := hj.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func decode(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var in etcdstore.RangeRequest
	if !decode(w, r, &in) {
		return
	}
	s.mu.Lock()
	out := etcdstore.RangeResponse{Header: etcdstore.Header{Revision: etcdstore.Int64(s.rev)}}
	for _, key := range s.keysIn(string(in.Key), string(in.RangeEnd)) {
		rec := s.records[key]
		out.KVs = append(out.KVs, etcdstore.KV{
			Key: []byte(key), Value: rec.value, ModRevision: etcdstore.Int64(rec.rev), Lease: etcdstore.Int64(rec.lease),
		})
	}
	s.mu.Unlock()
	writeJSON(w, out)
}

func (s *Server) keysIn(from, to string) []string {
	if to == "" {
		if _, ok := s.records[from]; ok {
			return []string{from}
		}
		return nil
	}
	var keys []string
	for key := range s.records {
		if key >= from && (key < to || to == "\x00") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in etcdstore.TxnRequest
	if !decode(w, r, &in) {
		return
	}
	s.mu.Lock()
	ok := s.matches(in.Compare)
	if ok {
		for _, op := range in.Success {
			s.apply(op)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	if s.On(ResponseLost) && s.lossCandidates.Add(1)%s.lostEvery == 0 {
		closeConnection(w)
		return
	}
	writeJSON(w, etcdstore.TxnResponse{Header: etcdstore.Header{Revision: etcdstore.Int64(rev)}, Succeeded: ok})
}

// matches reports whether all comparisons of a transaction are true.
func (s *Server) matches(cs []etcdstore.Compare) bool {
	for _, c := range cs {
		if s.records[string(c.Key)].rev != int64(c.ModRevision) {
			return false
		}
	}
	return true
}

func (s *Server) apply(op etcdstore.RequestOp) {
	s.rev++
	switch {
	case op.Put != nil:
		key := string(op.Put.Key)
		s.records[key] = record{value: op.Put.Value, rev: s.rev, lease: int64(op.Put.Lease)}
		s.notify(external.Entry{Key: key, Data: op.Put.Value, Revision: s.rev})
	case op.DeleteRange != nil:
		delete(s.records, string(op.DeleteRange.Key))
	}
}

// notify sends a change to the watchers of its key. It drops the change if a watcher's buffer is full.
func (s *Server) notify(e external.Entry) {
	for w := range s.watchers {
		if w.key != e.Key {
			continue
		}
		select {
		case w.ch <- e:
		default:
		}
	}
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	var in etcdstore.LeaseRequest
	if !decode(w, r, &in) {
		return
	}
	ttl := time.Duration(in.TTL) * time.Second
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, etcdstore.LeaseResponse{ID: etcdstore.Int64(id), TTL: in.TTL})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in etcdstore.LeaseRequest
	if !decode(w, r, &in) {
		return
	}
	var out etcdstore.KeepAliveResponse
	s.mu.Lock()
	if l, ok := s.leases[int64(in.ID)]; ok {
		l.expires = time.Now().Add(l.ttl)
		out.Result = etcdstore.LeaseResponse{ID: in.ID, TTL: etcdstore.Int64(l.ttl / time.Second)}
	}
	s.mu.Unlock()
	writeJSON(w, out)
}

// expire removes expired leases and their keys at intervals, until the service is closed.
func (s *Server) expire() {
	t := time.NewTicker(leaseInterval)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-t.C:
			s.mu.Lock()
			s.expireAt(now)
			s.mu.Unlock()
		}
	}
}

func (s *Server) expireAt(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, rec := range s.records {
			if rec.lease == id {
				s.rev++
				delete(s.records, key)
			}
		}
	}
}

const watchBuffer = 64

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in etcdstore.WatchRequest
	if !decode(w, r, &in) {
		return
	}
	wa := &watcher{key: string(in.Create.Key), ch: make(chan external.Entry, watchBuffer)}
	s.mu.Lock()
	s.watchers[wa] = struct{}{}
	if rec, ok := s.records[wa.key]; ok && rec.rev >= int64(in.Create.StartRevision) {
		wa.ch <- external.Entry{Key: wa.key, Data: rec.value, Revision: rec.rev}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, wa)
		s.mu.Unlock()
	}()
	s.stream(w, r, wa)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, wa *watcher) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	enc := json.NewEncoder(w)
	t := time.NewTicker(leaseInterval)
	defer t.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		case <-t.C:
			if s.On(Down) {
				return
			}
		case e := <-wa.ch:
			kv := etcdstore.KV{Key: []byte(e.Key), Value: e.Data, ModRevision: etcdstore.Int64(e.Revision)}
			out := etcdstore.WatchResponse{Result: etcdstore.WatchResult{Events: []etcdstore.Event{{Type: "PUT", KV: kv}}}}
			if enc.Encode(out) != nil || rc.Flush() != nil {
				return
			}
		}
	}
}
