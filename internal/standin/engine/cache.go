package engine

import (
	"container/list"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
)

const (
	cacheBlocks       = 512
	maxEvents         = 4096
	lostEventInterval = 3
	hexBase           = 16
	blockBits         = 64
)

// cache is the engine's prompt cache: the cached blocks, most recently used first, and the published cache events. The
// engine's lock guards it.
type cache struct {
	order  *list.List
	blocks map[uint64]*list.Element
	events []wire.CacheEvent
	seq    int64
}

func newCache() *cache { return &cache{order: list.New(), blocks: make(map[uint64]*list.Element)} }

// use records the use of a block, and evicts the least recently used one if the cache is full. loseEvents drops some of
// the events.
func (c *cache) use(block uint64, loseEvents bool) {
	if el, ok := c.blocks[block]; ok {
		c.order.MoveToFront(el)
		return
	}
	c.blocks[block] = c.order.PushFront(block)
	c.publish(wire.CacheEvent{Block: block}, loseEvents)
	if c.order.Len() <= cacheBlocks {
		return
	}
	back := c.order.Back()
	old, _ := back.Value.(uint64)
	c.order.Remove(back)
	delete(c.blocks, old)
	c.publish(wire.CacheEvent{Block: old, Evicted: true}, loseEvents)
}

func (c *cache) publish(e wire.CacheEvent, loseEvents bool) {
	c.seq++
	e.Seq = c.seq
	if loseEvents && c.seq%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after a sequence number.
func (c *cache) since(after int64) []wire.CacheEvent {
	out := []wire.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > after {
			out = append(out, e)
		}
	}
	return out
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	out := wire.CacheEvents{Events: e.cache.since(after)}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.PathValue("block"), hexBase, blockBits)
	e.mu.Lock()
	_, ok := e.cache.blocks[block]
	e.mu.Unlock()
	if err != nil || !ok {
		refuse(w, http.StatusNotFound, "no such block")
		return
	}
	_, _ = io.WriteString(w, "kv "+strconv.FormatUint(block, hexBase))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.PathValue("block"), hexBase, blockBits)
	if err != nil {
		refuse(w, http.StatusBadRequest, "not a block")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
	e.mu.Lock()
	e.cache.use(block, false)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
