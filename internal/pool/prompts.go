package pool

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	blockBytes = 256 // prompts are compared in blocks of this many bytes
	maxBlocks  = 64

	prefixEntries = 1 << 15 // pairs of an endpoint and a block that are stored
)

// Blocks hashes the beginning of a prompt in blocks; each hash covers everything before it too.
func Blocks(prompt []byte) []uint64 {
	n := min(len(prompt)/blockBytes, maxBlocks)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		out = append(out, d.Sum64())
	}
	return out
}

// PrefixTable tracks which endpoint recently saw which prefixes. It is an estimate: caches evict, and events arrive
// late.
type PrefixTable struct {
	size  int
	order *list.List
	seen  map[prefixKey]*list.Element
}

type prefixKey struct {
	endpoint string
	block    uint64
}

// NewPrefixTable returns an empty table that holds at most size entries.
func NewPrefixTable(size int) *PrefixTable {
	return &PrefixTable{size: size, order: list.New(), seen: make(map[prefixKey]*list.Element)}
}

// Add records that an endpoint has seen the blocks.
func (t *PrefixTable) Add(endpoint string, blocks []uint64) {
	for _, b := range blocks {
		k := prefixKey{endpoint, b}
		if el, ok := t.seen[k]; ok {
			t.order.MoveToFront(el)
			continue
		}
		t.seen[k] = t.order.PushFront(k)
		if t.order.Len() > t.size {
			t.drop(t.order.Back())
		}
	}
}

// Remove records that an endpoint has evicted a block.
func (t *PrefixTable) Remove(endpoint string, block uint64) {
	if el, ok := t.seen[prefixKey{endpoint, block}]; ok {
		t.drop(el)
	}
}

// Forget removes all entries of an endpoint.
func (t *PrefixTable) Forget(endpoint string) {
	for k, el := range t.seen {
		if k.endpoint == endpoint {
			t.drop(el)
		}
	}
}

func (t *PrefixTable) drop(el *list.Element) {
	k, _ := el.Value.(prefixKey)
	t.order.Remove(el)
	delete(t.seen, k)
}

// Share is the share of the blocks, counted from the first one, that an endpoint probably has cached.
func (t *PrefixTable) Share(endpoint string, blocks []uint64) float64 {
	n := 0
	for _, b := range blocks {
		if _, ok := t.seen[prefixKey{endpoint, b}]; !ok {
			break
		}
		n++
	}
	if n == 0 {
		return 0
	}
	return float64(n) / float64(len(blocks))
}
