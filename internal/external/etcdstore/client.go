// Package etcdstore is the store adapter for the etcd v3 JSON gateway.
//
// Source of the wire format: the published etcd v3 API, HTTP JSON mapping (kv/range, kv/txn, lease/grant,
// lease/keepalive, watch). Keys and values are encoded as base64, 64-bit integers as strings.
package etcdstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/httpcheck"
)

const (
	defaultTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// Client implements external.Store.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a call. It does not apply to watches.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New makes a client for a base URL such as http://127.0.0.1:2379.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{},
		timeout: defaultTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http.Transport = httpcheck.Transport(c.http.Transport)
	return c
}

// Get implements external.Store.
func (c *Client) Get(ctx context.Context, key string) (external.Entry, error) {
	var out RangeResponse
	if err := c.read(ctx, PathRange, RangeRequest{Key: []byte(key)}, &out); err != nil {
		return external.Entry{}, eris.Wrapf(err, "reading %s", key)
	}
	if len(out.KVs) == 0 {
		return external.Entry{Key: key}, nil
	}
	return out.KVs[0].entry(), nil
}

// List implements external.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]external.Entry, error) {
	var out RangeResponse
	in := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := c.read(ctx, PathRange, in, &out); err != nil {
		return nil, eris.Wrapf(err, "listing %s", prefix)
	}
	es := make([]external.Entry, 0, len(out.KVs))
	for _, kv := range out.KVs {
		es = append(es, kv.entry())
	}
	return es, nil
}

// Put implements external.Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, rev, lease int64) (int64, error) {
	if len(data) > external.MaxValue {
		return 0, eris.Wrapf(external.ErrTooLarge, "writing %s: %d bytes", key, len(data))
	}
	op := RequestOp{Put: &PutRequest{Key: []byte(key), Value: data, Lease: Int64(lease)}}
	rev, err := c.txn(ctx, key, rev, op)
	return rev, eris.Wrapf(err, "writing %s", key)
}

// Delete implements external.Store.
func (c *Client) Delete(ctx context.Context, key string, rev int64) error {
	op := RequestOp{DeleteRange: &DeleteRequest{Key: []byte(key)}}
	_, err := c.txn(ctx, key, rev, op)
	return eris.Wrapf(err, "deleting %s", key)
}

func (c *Client) txn(ctx context.Context, key string, rev int64, op RequestOp) (int64, error) {
	in := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: TargetMod, Result: ResultEqual, ModRevision: Int64(rev)}},
		Success: []RequestOp{op},
	}
	var out TxnResponse
	if err := c.write(ctx, PathTxn, in, &out); err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, external.ErrConflict
	}
	return int64(out.Header.Revision), nil
}

// Lease implements external.Store. The store grants leases in whole seconds, so ttl is rounded up.
func (c *Client) Lease(ctx context.Context, ttl time.Duration) (int64, error) {
	var out LeaseResponse
	secs := int64((ttl + time.Second - 1) / time.Second)
	if err := c.write(ctx, PathLease, LeaseRequest{TTL: Int64(secs)}, &out); err != nil {
		return 0, eris.Wrap(err, "making a lease")
	}
	return int64(out.ID), nil
}

// KeepAlive implements external.Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	var out KeepAliveResponse
	if err := c.write(ctx, PathKeepAlive, LeaseRequest{ID: Int64(lease)}, &out); err != nil {
		return eris.Wrap(err, "renewing a lease")
	}
	if out.Result.TTL <= 0 {
		return eris.Wrap(external.ErrConflict, "renewing a lease: it has ended")
	}
	return nil
}

// Watch implements external.Store.
func (c *Client) Watch(ctx context.Context, key string, after int64) (<-chan external.Entry, error) {
	body, err := json.Marshal(WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: Int64(after + 1)}})
	if err != nil {
		return nil, eris.Wrap(err, "encoding a watch")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathWatch, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "making a watch request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(external.ErrUnavailable, "watching %s: %v", key, err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, eris.Wrapf(external.ErrUnavailable, "watching %s: status %d", key, resp.StatusCode)
	}
	ch := make(chan external.Entry)
	go forwardEvents(ctx, resp.Body, ch)
	return ch, nil
}

func forwardEvents(ctx context.Context, body io.ReadCloser, ch chan<- external.Entry) {
	defer close(ch)
	defer func() { _ = body.Close() }()
	dec := json.NewDecoder(body)
	for {
		var out WatchResponse
		if err := dec.Decode(&out); err != nil {
			return
		}
		for _, ev := range out.Result.Events {
			select {
			case ch <- ev.KV.entry():
			case <-ctx.Done():
				return
			}
		}
	}
}

// read makes a call that may be repeated: every failure is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, in, out any) error {
	if err := c.call(ctx, path, in, out); err != nil {
		return eris.Wrapf(external.ErrUnavailable, "%v", err)
	}
	return nil
}

// write makes a call that must not be repeated blindly. It returns ErrUnavailable if the store has not executed the
// call, and ErrAmbiguous if it may have.
func (c *Client) write(ctx context.Context, path string, in, out any) error {
	err := c.call(ctx, path, in, out)
	if err == nil {
		return nil
	}
	if notExecuted(err) {
		return eris.Wrapf(external.ErrUnavailable, "%v", err)
	}
	return eris.Wrapf(external.ErrAmbiguous, "%v", err)
}

func notExecuted(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var status *statusError
	return errors.As(err, &status) && status.code == http.StatusTooManyRequests
}

type statusError struct{ code int }

func (e *statusError) Error() string { return "the store answered " + http.StatusText(e.code) }

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encoding a call")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "making a request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &statusError{code: resp.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}
