// Package mesh carries typed messages between instances: CBOR over QUIC with mutual TLS.
package mesh

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Version is the version of the messages. A peer with another version is refused.
const Version = 1

// MaxMessage is the largest message in bytes.
const MaxMessage = 4 << 20

// The ways in which a call can fail on the way.
var (
	ErrUnreachable = errors.New("the peer cannot be reached") // the peer has not seen the call
	ErrNoReply     = errors.New("the peer's reply was lost")  // the peer may have acted
	ErrVersion     = errors.New("the peer speaks another version")
)

// Kind names a message.
type Kind string

// Peer tells who sent a message.
type Peer struct {
	ID          string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Addr        string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint,omitempty"` // names one start of the process
}

// incSeparator stands between the parts of a process's name.
const incSeparator = "~"

// IncarnationID names one start of the instance's process. A restarted instance has the same ID and is someone else.
func (p Peer) IncarnationID() string {
	if p.Incarnation == "" {
		return p.ID
	}
	return p.ID + incSeparator + p.Incarnation
}

// SplitIncarnationID undoes Who.
func SplitIncarnationID(who string) (id, inc string) {
	id, inc, _ = strings.Cut(who, incSeparator)
	return id, inc
}

// Caller sends a message to an address and returns the reply's body.
type Caller interface {
	Call(ctx context.Context, addr string, kind Kind, body []byte) ([]byte, error)
	// Stream sends a message and hands every body that the peer sends back to each.
	Stream(ctx context.Context, addr string, kind Kind, body []byte, each func([]byte) error) error
}

// Call sends a typed message and decodes the typed reply.
func Call[Req, Resp any](ctx context.Context, c Caller, addr string, kind Kind, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, eris.Wrapf(err, "encoding %s", kind)
	}
	out, err := c.Call(ctx, addr, kind, body)
	if err != nil {
		return resp, err
	}
	return resp, eris.Wrapf(cbor.Unmarshal(out, &resp), "decoding the reply to %s", kind)
}

// Stream sends a typed message and hands every typed item of the reply to each.
func Stream[Req, Item any](ctx context.Context, c Caller, addr string, kind Kind, req Req, each func(Item) error) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return eris.Wrapf(err, "encoding %s", kind)
	}
	return c.Stream(ctx, addr, kind, body, func(b []byte) error {
		var item Item
		if err := cbor.Unmarshal(b, &item); err != nil {
			return eris.Wrapf(err, "decoding an item of %s", kind)
		}
		return each(item)
	})
}

// Empty is the body of a message or reply that says nothing more.
type Empty struct{}

type handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

type streamHandler func(ctx context.Context, from Peer, body []byte, send func([]byte) error) error

// Router finds the handler of a message.
type Router struct {
	mu      sync.RWMutex
	calls   map[Kind]handler
	streams map[Kind]streamHandler
}

// NewRouter makes an empty router.
func NewRouter() *Router {
	return &Router{calls: make(map[Kind]handler), streams: make(map[Kind]streamHandler)}
}

// Handle registers the typed handler of a message.
func Handle[Req, Resp any](r *Router, kind Kind, fn func(ctx context.Context, from Peer, req Req) (Resp, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[kind] = func(ctx context.Context, from Peer, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "undecodable "+string(kind), verdict.WithCause(err))
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	}
}

// HandleStream registers the typed handler of a message that is answered by many items.
func HandleStream[Req, Item any](r *Router, kind Kind, fn func(ctx context.Context, from Peer, req Req, send func(Item) error) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[kind] = func(ctx context.Context, from Peer, body []byte, send func([]byte) error) error {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "undecodable "+string(kind), verdict.WithCause(err))
		}
		return fn(ctx, from, req, func(item Item) error {
			b, err := cbor.Marshal(item)
			if err != nil {
				return eris.Wrapf(err, "encoding an item of %s", kind)
			}
			return send(b)
		})
	}
}

// Dispatch hands a call to its handler. Transports use it.
func (r *Router) Dispatch(ctx context.Context, from Peer, kind Kind, body []byte) ([]byte, error) {
	r.mu.RLock()
	h, ok := r.calls[kind]
	r.mu.RUnlock()
	if !ok {
		return nil, unknownKind(kind)
	}
	return h(ctx, from, body)
}

// DispatchStream hands a streaming call to its handler.
func (r *Router) DispatchStream(ctx context.Context, from Peer, kind Kind, body []byte, send func([]byte) error) error {
	r.mu.RLock()
	h, ok := r.streams[kind]
	r.mu.RUnlock()
	if !ok {
		return unknownKind(kind)
	}
	return h(ctx, from, body, send)
}

func (r *Router) hasStream(kind Kind) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.streams[kind]
	return ok
}

func unknownKind(kind Kind) error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "unknown message "+string(kind))
}

// remoteError is an error as it travels.
type remoteError struct {
	Verdict    string        `cbor:"1,keyasint"`
	Code       string        `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

func toRemote(err error) *remoteError {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	detail := e.Detail()
	if e.Code() == verdict.CodeInternal {
		detail = err.Error()
	}
	return &remoteError{
		Verdict: e.Verdict().String(), Code: string(e.Code()), Detail: detail, RetryAfter: e.RetryAfter(),
	}
}

func (e *remoteError) err() error {
	if e == nil {
		return nil
	}
	return verdict.New(verdict.Parse(e.Verdict), verdict.Code(e.Code), e.Detail, verdict.WithRetryAfter(e.RetryAfter))
}
