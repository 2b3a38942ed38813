package rollout

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// CacheName is the kernel service name of Cache.
const CacheName = "rollout.cache"

// KindCache sends an endpoint's cache events to the other instances of a zone.
const KindCache mesh.Kind = "cache.events"

const (
	cacheInterval = time.Second
	cacheTimeout  = 700 * time.Millisecond
)

// CacheReader reads an endpoint's cache events.
type CacheReader interface {
	CacheEvents(ctx context.Context, url string, after int64) ([]wire.CacheEvent, error)
}

// CacheTable tracks what the endpoints have cached, from their cache events.
type CacheTable interface {
	// CacheEvents applies an endpoint's events. gap means that some events before them are missing.
	CacheEvents(endpoint string, events []wire.CacheEvent, gap bool)
}

// CacheUpdate is the message of KindCache.
type CacheUpdate struct {
	Endpoint string            `cbor:"1,keyasint"`
	Events   []wire.CacheEvent `cbor:"2,keyasint"`
	Gap      bool              `cbor:"3,keyasint,omitempty"`
}

// Cache reads the cache events of the zone's engines and sends them to the zone's other instances. One instance reads
// each engine.
type Cache struct {
	feed    *Feed
	members members
	caller  mesh.Caller
	reader  CacheReader
	table   CacheTable

	lastSeq map[string]int64
}

// NewCache makes the service and registers its message handler.
func NewCache(feed *Feed, m members, c mesh.Caller, r *mesh.Router, reader CacheReader, table CacheTable) *Cache {
	s := &Cache{feed: feed, members: m, caller: c, reader: reader, table: table, lastSeq: make(map[string]int64)}
	mesh.Handle(r, KindCache, func(_ context.Context, _ mesh.Peer, u CacheUpdate) (mesh.Empty, error) {
		table.CacheEvents(u.Endpoint, u.Events, u.Gap)
		return mesh.Empty{}, nil
	})
	return s
}

// Name implements kernel.Service.
func (s *Cache) Name() string { return CacheName }

// Run implements kernel.Service.
func (s *Cache) Run(ctx context.Context) error {
	kernel.Every(ctx, cacheInterval, s.Tick)
	return nil
}

// Tick reads new events from the endpoints that this instance owns. Late or missing events only cost cache hits.
func (s *Cache) Tick(ctx context.Context) {
	doc := s.feed.Document()
	for name, e := range doc.Decl.Endpoints {
		if doc.Decl.Pools[e.Pool].Kind == declare.KindEngine && isOwner(s.members, name, e.Zone) {
			s.read(ctx, name, e.URL)
		}
	}
}

func (s *Cache) read(ctx context.Context, name, url string) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := s.reader.CacheEvents(ctx, url, s.lastSeq[name])
	if err != nil || len(events) == 0 {
		return
	}
	update := CacheUpdate{Endpoint: name, Events: events, Gap: hasGap(s.lastSeq[name], events)}
	s.lastSeq[name] = events[len(events)-1].Seq
	s.table.CacheEvents(name, events, update.Gap)
	for _, p := range s.members.Zone() {
		if p.ID != s.members.Self().ID {
			_, _ = mesh.Call[CacheUpdate, mesh.Empty](ctx, s.caller, p.Addr, KindCache, update)
		}
	}
}

// hasGap reports whether a sequence number between after and the events is missing.
func hasGap(after int64, events []wire.CacheEvent) bool {
	for _, e := range events {
		if e.Seq != after+1 {
			return true
		}
		after = e.Seq
	}
	return false
}
