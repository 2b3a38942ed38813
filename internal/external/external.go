// Package external defines what the project uses of the platform: a key-value store, an instance list, a weight store.
package external

import (
	"context"
	"errors"
	"time"
)

// The store's failures. A write that ends in ErrAmbiguous may have taken effect; the writer reads back.
var (
	ErrConflict    = errors.New("the key has another revision")
	ErrUnavailable = errors.New("the store did not take the call")
	ErrAmbiguous   = errors.New("the store's answer was lost")
	ErrTooLarge    = errors.New("the value is over the store's limit")
	// ErrSlowResponse reports that an answer began to arrive but was not whole in time: there is much to read, or the link is full.
	ErrSlowResponse = errors.New("the store's answer did not arrive whole in time")
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
	// Put writes if the key's revision is rev (0: the key must not exist) and returns the new revision.
	// A lease other than 0 removes the key when the lease ends.
	Put(ctx context.Context, key string, data []byte, rev, lease int64) (int64, error)
	// Delete removes the key if its revision is rev.
	Delete(ctx context.Context, key string, rev int64) error
	// Lease makes a lease that ends after ttl unless it is kept alive.
	Lease(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Watch sends the key's later values until ctx ends or the connection breaks, then closes the channel.
	Watch(ctx context.Context, key string, after int64) (<-chan Entry, error)
}

// State is what the platform's list says of an instance.
type State string

// The states of a listed instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one line of the platform's list. The list lags.
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

// WeightStore holds model weights behind a limited rate of loads.
type WeightStore interface {
	// Acquire takes one load permit for a model version; it waits until the store allows it.
	Acquire(ctx context.Context, model, version string) error
}
