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

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// KindUpdate asks for what has changed.
const KindUpdate mesh.Kind = "feed.news"

const (
	askLimit   = 450 * time.Millisecond  // of one question
	askLimits  = 500 * time.Millisecond  // of all questions of a step: the store shall have its time too
	mostAge    = 1300 * time.Millisecond // a zone's leader that heard the store longer ago is passed over
	fleetAge   = 800 * time.Millisecond  // the same, of the one that the zones' leaders ask
	meetWait   = 1500 * time.Millisecond // for the fleet to be known, after the start
	startWait  = 700 * time.Millisecond  // for a leader that is starting too
	startAgain = 50 * time.Millisecond   // between questions to such a leader
	restFirst  = time.Second             // after a call to the store that failed, while leaders answer that they do not hear it either
	restMost   = 4 * time.Second         // the most that this grows to
	allFor     = 500 * time.Millisecond  // a list of all endpoints is handed out for so long: after a fault many ask at once
)

// mostUnpacked is the size in bytes up to which a configuration or a list is unpacked.
const mostUnpacked = 64 << 20

// question is how far the asking instance has followed the store.
type question struct {
	At       int64 `cbor:"1,keyasint"`
	ConfigAt int64 `cbor:"2,keyasint"`
	Epoch    int64 `cbor:"3,keyasint,omitempty"` // of the store; the others are numbers within it
}

// ask makes the question of an instance that has followed the store up to a cursor. One of an epoch that is over asks for everything.
func ask(since follow.Cursor, present int64) question {
	epoch := external.EpochOf(since.At)
	if epoch < present {
		return question{Epoch: present}
	}
	return question{At: external.NumberOf(since.At), ConfigAt: within(epoch, since.ConfigAt), Epoch: epoch}
}

// within is a revision's number if it is of an epoch, else 0: before all of it.
func within(epoch, revision int64) int64 {
	if external.EpochOf(revision) != epoch {
		return 0
	}
	return external.NumberOf(revision)
}

// cursor is how far the asking instance has come. One that names no epoch is taken to follow the present one.
func (q question) cursor(present int64) follow.Cursor {
	epoch := q.Epoch
	if epoch == 0 {
		epoch = present
	}
	if q.At == 0 {
		return follow.Cursor{}
	}
	return follow.Cursor{At: external.Revision(epoch, q.At), ConfigAt: external.Revision(epoch, q.ConfigAt)}
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
	All       []byte          `cbor:"9,keyasint,omitempty"` // packed []pool.Endpoint: all of them, in place of Endpoints
	// Evacuated are all availability zones that are evacuated as of OperatorAt
	OperatorAt int64    `cbor:"10,keyasint,omitempty"`
	Evacuated  []string `cbor:"11,keyasint,omitempty"`
	Epoch      int64    `cbor:"12,keyasint,omitempty"` // of the store; At, ConfigAt and OperatorAt are numbers within it
}

// Follower is what tells news: follow.Follower.
type Follower interface {
	UpdateSince(since follow.Cursor) (follow.Update, bool)
}

// Serve answers the questions of other instances from what a follower knows.
func Serve(router *mesh.Router, f Follower, epochs *external.Epochs) {
	s := &server{follower: f, epochs: epochs}
	mesh.Handle(router, KindUpdate, s.tell)
}

type server struct {
	follower Follower
	epochs   *external.Epochs

	mu     sync.Mutex
	config packed // by its version
	all    packed // all endpoints, by the store's revision
}

// packed is something that many instances ask for, encoded once.
type packed struct {
	data []byte // nil: none
	of   int64  // the version or revision that it holds
	made time.Time
}

func (s *server) tell(_ context.Context, _ mesh.Peer, q question) (news, error) {
	if q.Epoch > 0 && s.epochs.Observe(q.Epoch, 0) != nil {
		q.At = 0 // it follows an epoch that is over, and needs everything
	}
	present := s.epochs.Current()
	since := q.cursor(present)
	u, ok := s.follower.UpdateSince(since)
	if !ok || external.EpochOf(u.At) < present {
		return news{}, nil
	}
	if u.Age > mostAge {
		return news{Known: true, AgeMs: u.Age.Milliseconds()}, nil // too old for whoever asks
	}
	epoch := external.EpochOf(u.At)
	n := news{
		Known: true, At: external.NumberOf(u.At), ConfigAt: within(epoch, u.ConfigAt), Whole: u.Complete, Endpoints: u.Endpoints, Gone: u.Removed,
		AgeMs: u.Age.Milliseconds(), OperatorAt: within(epoch, u.OperatorAt), Evacuated: u.Evacuated.Zones, Epoch: epoch,
	}
	var err error
	if u.Complete {
		n.Endpoints = nil
		var at int64
		if n.All, at, err = s.packAll(u, since.At); err != nil {
			return news{}, err
		}
		n.At = external.NumberOf(at)
	}
	if u.Config != nil {
		n.Config, err = s.packConfig(u.Config)
	}
	return n, err
}

// packAll encodes all endpoints once for all who ask within allFor, and reports when they are: what has changed since then is asked for
// next. A list that is older than what the asking instance knows is of no use to it.
func (s *server) packAll(u follow.Update, known int64) (all []byte, at int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all.data == nil || time.Since(s.all.made) > allFor || s.all.of < known || external.EpochOf(s.all.of) != external.EpochOf(u.At) {
		if s.all, err = packOnce(u.Endpoints, u.At); err != nil {
			return nil, 0, err
		}
	}
	return s.all.data, s.all.of, nil
}

// packConfig encodes a configuration once for all who ask.
func (s *server) packConfig(c *route.Config) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.config.data == nil || s.config.of != c.Version {
		s.config, err = packOnce(c, c.Version)
	}
	return s.config.data, err
}

// packOnce encodes what is handed out to many instances, of a version or revision.
func packOnce(v any, of int64) (packed, error) {
	data, err := pack(v)
	if err != nil {
		return packed{}, err
	}
	return packed{data: data, of: of, made: time.Now()}, nil
}

// pack encodes and compresses what goes to many instances.
func pack(v any) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := cbor.NewEncoder(z).Encode(v); err != nil {
		return nil, eris.Wrap(err, "encoding news")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "packing news")
	}
	return b.Bytes(), nil
}

// unpack undoes pack.
func unpack[T any](b []byte) (T, error) {
	var v T
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return v, eris.Wrap(err, "unpacking news")
	}
	raw, err := io.ReadAll(io.LimitReader(z, mostUnpacked))
	if err != nil {
		return v, eris.Wrap(err, "unpacking news")
	}
	return v, eris.Wrap(cbor.Unmarshal(raw, &v), "decoding news")
}

// Source is a follow.Source that asks the zone's leaders first; a zone's leader asks the one that reads the store for all zones.
type Source struct {
	dir    *peers.Directory
	store  follow.Source
	now    func() time.Time
	epochs *external.Epochs
	call   time.Duration // limit of a call for changes to the store
	slow   atomic.Bool   // the store's last answer was not whole in time: nobody else has news, so the store is asked at once
	rest   rest
}

var _ follow.Source = (*Source)(nil)

// Option changes a Source.
type Option func(*Source)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(s *Source) { s.now = now } }

// WithEpochs sets what knows the store's epoch.
func WithEpochs(e *external.Epochs) Option { return func(s *Source) { s.epochs = e } }

// NewSource makes a source. store is asked where no leader answers.
func NewSource(dir *peers.Directory, store follow.Source, opts ...Option) *Source {
	s := &Source{dir: dir, store: store, now: time.Now, call: follow.DefaultTimes().Call, epochs: external.NewEpochs()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Snapshot implements follow.Source.
func (s *Source) Snapshot(ctx context.Context, known follow.Cursor) (follow.Update, error) {
	if s.slow.Swap(false) {
		return s.store.Snapshot(ctx, known)
	}
	s.meet(ctx)
	u, err := s.askAll(ctx)
	if err == nil && u.At >= known.At {
		return u, nil // an older one would make an endpoint ready for good that is known to drain: what was followed since is not told again
	}
	if errors.Is(err, errDeaf) && s.rest.rests(s.now()) {
		return follow.Update{}, err
	}
	u, err = s.store.Snapshot(ctx, known)
	s.rest.note(s.now(), err)
	return u, err
}

// meet waits for the fleet to be known: otherwise each instance of a large one would begin with calls of its own.
func (s *Source) meet(ctx context.Context) {
	t := time.NewTimer(meetWait)
	defer t.Stop()
	select {
	case <-s.dir.Discovered():
	case <-t.C:
	case <-ctx.Done():
	}
}

// askAll asks for everything. After a fault leaders may be starting at the same moment.
func (s *Source) askAll(ctx context.Context) (follow.Update, error) {
	t := time.NewTimer(startWait)
	defer t.Stop()
	for {
		u, err := s.ask(ctx, follow.Cursor{})
		if !errors.Is(err, errStarting) {
			return u, err
		}
		select {
		case <-time.After(startAgain):
		case <-t.C:
			return follow.Update{}, errNobody
		case <-ctx.Done():
			return follow.Update{}, errNobody
		}
	}
}

// Changes implements follow.Source.
func (s *Source) Changes(ctx context.Context, since follow.Cursor, own bool) (follow.Update, error) {
	u, err := s.ask(ctx, since)
	if err == nil {
		return u, nil
	}
	if errors.Is(err, errDeaf) && s.rest.rests(s.now()) {
		return follow.Update{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	u, err = s.store.Changes(ctx, since, own)
	s.rest.note(s.now(), err)
	s.slow.Store(errors.Is(err, external.ErrSlowResponse))
	return u, err
}

// Why nobody has told the news.
var (
	errNobody   = errors.New("no instance that leads has news")
	errStarting = errors.New("the instances that lead are starting")
	errDeaf     = errors.New("the instances that lead do not hear the store")
)

// ask goes through the leaders until one has heard the store lately.
func (s *Source) ask(ctx context.Context, since follow.Cursor) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimits)
	defer cancel()
	leaders, most := s.dir.Leaders(), mostAge
	if len(leaders) == 0 {
		leaders, most = s.dir.FleetLeaders(), fleetAge
	}
	why := errNobody
	for _, p := range leaders {
		u, err := s.askOne(ctx, p, since, most)
		if err == nil {
			return u, nil
		}
		if errors.Is(err, errStarting) || errors.Is(err, errDeaf) {
			why = err
		}
	}
	return follow.Update{}, why
}

func (s *Source) askOne(ctx context.Context, p mesh.Peer, since follow.Cursor, most time.Duration) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	n, err := peers.Call[question, news](ctx, s.dir, p, KindUpdate, ask(since, s.epochs.Current()))
	age := time.Duration(n.AgeMs) * time.Millisecond
	switch {
	case err != nil:
		return follow.Update{}, err
	case !n.Known:
		return follow.Update{}, errStarting
	case age > most:
		return follow.Update{}, errDeaf
	case !n.Whole && (since.At == 0 || external.EpochOf(since.At) < s.epochs.Current()):
		return follow.Update{}, errNobody
	}
	if err := s.epoch(&n); err != nil {
		return follow.Update{}, err
	}
	operator := external.Revision(n.Epoch, n.OperatorAt)
	u := follow.Update{
		At: external.Revision(n.Epoch, n.At), ConfigAt: external.Revision(n.Epoch, n.ConfigAt), Complete: n.Whole, Endpoints: n.Endpoints, Removed: n.Gone,
		Events: 1, FromPeer: true, Age: age, OperatorAt: operator, Evacuated: &evacuation.Set{At: operator, Zones: n.Evacuated},
	}
	if len(n.All) > 0 {
		if u.Endpoints, err = unpack[[]pool.Endpoint](n.All); err != nil {
			return follow.Update{}, err
		}
	}
	if len(n.Config) > 0 {
		u.Config, err = unpack[*route.Config](n.Config)
	}
	return u, err
}

// epoch checks the epoch of news. An instance that names none may know one that is over, once the store was restored.
func (s *Source) epoch(n *news) error {
	switch {
	case n.Epoch > 0:
		return s.epochs.Observe(n.Epoch, n.At)
	case s.epochs.Restored():
		return errNobody
	}
	n.Epoch = s.epochs.Current()
	return nil
}

// rest keeps an instance from calls to a store that it does not reach, while others try in its place. Its zero value does not rest.
type rest struct {
	mu    sync.Mutex
	until time.Time
	pause time.Duration
}

// rests reports whether the store is left alone now.
func (r *rest) rests(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until)
}

// note takes how a call to the store has ended.
func (r *rest) note(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.pause, r.until = 0, time.Time{}
		return
	}
	r.pause = min(max(2*r.pause, restFirst), restMost)
	r.until = now.Add(r.pause)
}
