package pool

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// shardSize is the minimum mean number of endpoints in a shard.
const shardSize = 256

// shards divides the endpoints of a large service by the hashes of their IDs, so that a pick compares a bounded number
// of endpoints. A request's affinity determines its shard, and all instances compute the same one.
type shards struct {
	lists [][]*member // their number is a power of two; nil: the service is not divided
	stale bool        // endpoints have come or gone since lists was made
}

// shardCount returns the number of shards of n endpoints.
func shardCount(n int) int {
	if n < 2*shardSize {
		return 1
	}
	return 1 << (bits.Len(uint(n/shardSize)) - 1) //nolint:gosec // not negative
}

// build divides endpoints into shards.
func (s *shards) build(members []*member) {
	s.stale, s.lists = false, nil
	n := shardCount(len(members))
	if n == 1 {
		return
	}
	s.lists = make([][]*member, n)
	for _, m := range members {
		i := m.hash % uint64(n) //nolint:gosec // above 0
		s.lists[i] = append(s.lists[i], m)
	}
}

// divide marks the shards of a service as stale. The caller holds mu.
func (p *Pool) divide(service string) {
	if s := p.shards[service]; s != nil {
		s.stale = true
		return
	}
	p.shards[service] = &shards{stale: true}
}

// shardOf returns the endpoints that are compared for a request, and whether there are others. The caller holds mu.
func (p *Pool) shardOf(q Query) (members []*member, partial bool) {
	all, s := p.services[q.Service], p.shards[q.Service]
	if s == nil || p.chooser != nil {
		return all, false
	}
	if s.stale {
		s.build(all)
	}
	if s.lists == nil {
		return all, false
	}
	if q.Affinity == "" {
		return s.lists[p.random(len(s.lists))], true
	}
	const unrelated = 0x9e3779b97f4a7c15 // so that a shard's requests have no common order within it
	key := (xxhash.Sum64String(q.Affinity) * unrelated) >> 32
	return s.lists[key%uint64(len(s.lists))], true
}
