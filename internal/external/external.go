// Package external defines the interfaces of the platform that the project uses: a key-value store, an instance list
// and a weight store.
package external

import (
	"context"
	"errors"
	"time"
)

// Errors of the store. A write that fails with ErrAmbiguous may have taken effect; the writer reads the keys back.
var (
	ErrConflict    = errors.New("the key has another revision")
	ErrUnavailable = errors.New("the store did not accept the call")
	ErrAmbiguous   = errors.New("the store's response was lost")
	ErrTooLarge    = errors.New("the value is over the store's limit")
	// ErrSlowResponse reports that a response began to arrive but was not complete in time: it is large, or the link is
	// congested.
	ErrSlowResponse = errors.New("the store's response did not arrive completely in time")
)

// MaxValue is the largest value that the store takes, in bytes.
const MaxValue = 1 << 20

// Entry is a stored value. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string
	Data     []byte
	Revision int64
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key; an absent key has revision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads every key with a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes if the key's revision is rev (0: the key must not exist) and returns the new revision. With a lease
	// other than 0, the key is removed when the lease ends.
	Put(ctx context.Context, key string, data []byte, rev, lease int64) (int64, error)
	// Delete removes the key if its revision is rev.
	Delete(ctx context.Context, key string, rev int64) error
	// Lease creates a lease that ends after ttl unless it is renewed.
	Lease(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Watch sends the key's later values until ctx ends or the connection breaks, then closes the channel.
	Watch(ctx context.Context, key string, after int64) (<-chan Entry, error)
}

// State is the state of an instance in the platform's list.
type State string

// The states of a listed instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an entry of the platform's list. The list may be out of date.
type Instance struct {
	ID    string
	Zone  string
	Addr  string // UDP address of the instance's QUIC listener, host:port
	State State
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore holds model weights and limits the rate at which they are loaded.
type WeightStore interface {
	// Acquire takes one load permit for a model version. It waits until the store allows the load.
	Acquire(ctx context.Context, model, version string) error
}
