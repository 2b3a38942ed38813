// Package mesh sends typed messages between instances: CBOR over QUIC with mutual TLS.
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

// Version is the version of the message format. Messages of another version are refused.
const Version = 1

// MaxMessage is the size of the largest message, in bytes.
const MaxMessage = 4 << 20

// Errors of the transport.
var (
	ErrUnreachable = errors.New("the peer cannot be reached") // the peer has not received the call
	ErrNoReply     = errors.New("the peer's reply was lost")  // the peer may have handled the call
	ErrVersion     = errors.New("the peer speaks another version")
)

// Kind identifies a type of message.
type Kind string

// Peer identifies an instance, as sender or receiver of messages.
type Peer struct {
	ID          string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Addr        string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint,omitempty"` // identifies one start of the process
}

// incarnationSeparator separates the parts of an incarnation's ID.
const incarnationSeparator = "~"

// IncarnationID identifies one start of the instance's process. A restarted instance keeps its ID but is another
// incarnation.
func (p Peer) IncarnationID() string {
	if p.Incarnation == "" {
		return p.ID
	}
	return p.ID + incarnationSeparator + p.Incarnation
}

// SplitIncarnationID splits an ID that IncarnationID returned into the instance's ID and the incarnation.
func SplitIncarnationID(incarnationID string) (id, inc string) {
	id, inc, _ = strings.Cut(incarnationID, incarnationSeparator)
	return id, inc
}

// Caller sends messages to addresses.
type Caller interface {
	// Call sends a message and returns the body of the reply.
	Call(ctx context.Context, addr string, kind Kind, body []byte) ([]byte, error)
	// Stream sends a message and calls each with every body that the peer sends back.
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

// Stream sends a typed message and calls each with every typed item of the reply.
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

// Empty is the body of a message or reply without content.
type Empty struct{}

type handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

type streamHandler func(ctx context.Context, from Peer, body []byte, send func([]byte) error) error

// Router dispatches messages to their handlers.
type Router struct {
	mu      sync.RWMutex
	calls   map[Kind]handler
	streams map[Kind]streamHandler
	tunnels map[Kind]tunnelHandler
	onCall  func(from Peer)
}

// NewRouter returns a Router without handlers.
func NewRouter() *Router {
	return &Router{
		calls: make(map[Kind]handler), streams: make(map[Kind]streamHandler), tunnels: make(map[Kind]tunnelHandler), onCall: func(Peer) {},
	}
}

// OnCall sets a function that is called with the sender of each call.
func (r *Router) OnCall(f func(from Peer)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCall = f
}

// find returns the handler of a kind, and reports the call to the function that OnCall has set.
func find[H any](r *Router, handlers map[Kind]H, from Peer, kind Kind) (H, bool) {
	r.mu.RLock()
	h, ok := handlers[kind]
	onCall := r.onCall
	r.mu.RUnlock()
	onCall(from)
	return h, ok
}

// Handle registers the typed handler of a kind of message.
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

// HandleStream registers the typed handler of a kind of message whose reply consists of many items.
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

// Dispatch passes a call to its handler. Transports use it.
func (r *Router) Dispatch(ctx context.Context, from Peer, kind Kind, body []byte) ([]byte, error) {
	h, ok := find(r, r.calls, from, kind)
	if !ok {
		return nil, unknownKind(kind)
	}
	return h(ctx, from, body)
}

// DispatchStream passes a streaming call to its handler.
func (r *Router) DispatchStream(ctx context.Context, from Peer, kind Kind, body []byte, send func([]byte) error) error {
	h, ok := find(r, r.streams, from, kind)
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

// remoteError is the encoded form of an error in a reply.
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
