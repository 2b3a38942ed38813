// Package feed lets an instance follow the configuration and the endpoints through the instance that leads its availability
// zone, and asks the store itself when none can be reached or none has heard the store lately.
package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// KindNews asks for what has changed.
const KindNews mesh.Kind = "feed.news"

const (
	askLimit   = 450 * time.Millisecond  // of one question
	askAll     = 500 * time.Millisecond  // of all questions of a step: the store shall have its time too
	mostAge    = 1100 * time.Millisecond // an instance that heard the store longer ago is passed over
	mostConfig = 64 << 20                // bytes of a configuration, unpacked
)

// question is how far the asking instance has followed the store.
type question struct {
	At       int64 `cbor:"1,keyasint"`
	ConfigAt int64 `cbor:"2,keyasint"`
}

// news answers a question.
type news struct {
	Known     bool            `cbor:"1,keyasint"` // false: the instance knows nothing itself yet
	At        int64           `cbor:"2,keyasint"`
	ConfigAt  int64           `cbor:"3,keyasint"`
	Config    []byte          `cbor:"4,keyasint,omitempty"` // packed; empty: not changed
	Whole     bool            `cbor:"5,keyasint,omitempty"`
	Endpoints []pool.Endpoint `cbor:"6,keyasint,omitempty"`
	Gone      []string        `cbor:"7,keyasint,omitempty"`
	AgeMs     int64           `cbor:"8,keyasint,omitempty"`
}

// Follower is what tells news: follow.Follower.
type Follower interface {
	News(since follow.Cursor) (follow.Update, bool)
}

// Serve answers the questions of other instances from what a follower knows.
func Serve(router *mesh.Router, f Follower) {
	s := &server{follower: f}
	mesh.Handle(router, KindNews, s.tell)
}

type server struct {
	follower Follower

	mu      sync.Mutex
	version int64
	packed  []byte // the configuration of that version
}

func (s *server) tell(_ context.Context, _ mesh.Peer, q question) (news, error) {
	u, ok := s.follower.News(follow.Cursor{At: q.At, ConfigAt: q.ConfigAt})
	if !ok {
		return news{}, nil
	}
	n := news{
		Known: true, At: u.At, ConfigAt: u.ConfigAt, Whole: u.Whole, Endpoints: u.Endpoints, Gone: u.Gone, AgeMs: u.Age.Milliseconds(),
	}
	if u.Config == nil {
		return n, nil
	}
	var err error
	n.Config, err = s.pack(u.Config)
	return n, err
}

// pack encodes a configuration once for all who ask.
func (s *server) pack(c *route.Config) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == c.Version {
		return s.packed, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := cbor.NewEncoder(z).Encode(c); err != nil {
		return nil, eris.Wrap(err, "encoding the configuration")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "packing the configuration")
	}
	s.version, s.packed = c.Version, b.Bytes()
	return s.packed, nil
}

func unpack(b []byte) (*route.Config, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, eris.Wrap(err, "unpacking the configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(z, mostConfig))
	if err != nil {
		return nil, eris.Wrap(err, "unpacking the configuration")
	}
	var c route.Config
	return &c, eris.Wrap(cbor.Unmarshal(raw, &c), "decoding the configuration")
}

// Source is a follow.Source that asks the zone's leaders first.
type Source struct {
	dir   *peers.Directory
	store follow.Source
	call  time.Duration // limit of a call for changes to the store
	slow  atomic.Bool   // the store's last answer was not whole in time: nobody else has news, so the store is asked at once
}

var _ follow.Source = (*Source)(nil)

// NewSource makes a source. store is asked where no leader answers.
func NewSource(dir *peers.Directory, store follow.Source) *Source {
	return &Source{dir: dir, store: store, call: follow.DefaultTimes().Call}
}

// Snapshot implements follow.Source.
func (s *Source) Snapshot(ctx context.Context) (follow.Update, error) {
	if !s.slow.Swap(false) {
		if u, err := s.ask(ctx, follow.Cursor{}); err == nil {
			return u, nil
		}
	}
	return s.store.Snapshot(ctx)
}

// Changes implements follow.Source.
func (s *Source) Changes(ctx context.Context, since follow.Cursor, own bool) (follow.Update, error) {
	if u, err := s.ask(ctx, since); err == nil {
		return u, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	u, err := s.store.Changes(ctx, since, own)
	s.slow.Store(errors.Is(err, external.ErrSlowAnswer))
	return u, err
}

var errNobody = errors.New("no instance that leads has news")

// ask goes through the leaders until one has heard the store lately.
func (s *Source) ask(ctx context.Context, since follow.Cursor) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, askAll)
	defer cancel()
	for _, p := range s.dir.Leaders() {
		u, err := s.askOne(ctx, p, since)
		if err == nil {
			return u, nil
		}
	}
	return follow.Update{}, errNobody
}

func (s *Source) askOne(ctx context.Context, p mesh.Peer, since follow.Cursor) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	n, err := peers.Call[question, news](ctx, s.dir, p, KindNews, question{At: since.At, ConfigAt: since.ConfigAt})
	if err != nil {
		return follow.Update{}, err
	}
	age := time.Duration(n.AgeMs) * time.Millisecond
	if !n.Known || age > mostAge || (since.At == 0 && !n.Whole) {
		return follow.Update{}, errNobody
	}
	u := follow.Update{
		At: n.At, ConfigAt: n.ConfigAt, Whole: n.Whole, Endpoints: n.Endpoints, Gone: n.Gone, Events: 1, Peer: true, Age: age,
	}
	if len(n.Config) > 0 {
		u.Config, err = unpack(n.Config)
	}
	return u, err
}
