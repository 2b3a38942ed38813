package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ClaimPrefix begins the key of every claim.
const ClaimPrefix = "claim/"

const (
	claimLife   = 24 * time.Hour
	leaseShare  = time.Hour // claims made within this time share a lease
	claimTries  = 12
	claimPause  = 5 * time.Millisecond
	claimWithin = 3 * time.Second
	failPause   = 300 * time.Millisecond
)

// Claim is what stands in the store before a non-repeatable request is dispatched.
type Claim struct {
	Run   string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
}

// Claims makes claims by compare-and-swap: a request is claimed once for a day.
type Claims struct {
	store external.Store
	self  string
	now   func() time.Time

	mu      sync.Mutex
	lease   int64
	leaseAt time.Time
	failed  time.Time // when a claim last could not be made
}

// NewClaims makes the claims of an instance.
func NewClaims(store external.Store, self string, now func() time.Time) *Claims {
	return &Claims{store: store, self: self, now: now}
}

// Acquire claims a request for a run. Its errors are NotRun, but for CodeClaimTaken: another run may have run.
//
// For a moment after a claim could not be made, others are refused at once: the store is asked again later.
func (c *Claims) Acquire(ctx context.Context, request, run string) error {
	if c.failing() {
		return unclaimed(external.ErrUnavailable)
	}
	err := c.acquire(ctx, request, run)
	if err != nil && verdict.From(err).Code() == verdict.CodeClaimUnavailable {
		c.mu.Lock()
		c.failed = c.now()
		c.mu.Unlock()
	}
	return err
}

func (c *Claims) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed.IsZero() && c.now().Sub(c.failed) < failPause
}

func (c *Claims) acquire(ctx context.Context, request, run string) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyClaim), claimWithin)
	defer cancel()
	lease, err := c.leaseFor(ctx)
	if err != nil {
		return unclaimed(err)
	}
	data, err := cbor.Marshal(Claim{Run: run, Owner: c.self})
	if err != nil {
		return eris.Wrap(err, "encoding a claim")
	}
	var last error
	for range claimTries {
		_, err := c.store.Put(ctx, ClaimPrefix+request, data, 0, lease)
		if err == nil {
			return nil
		}
		last = err
		if errors.Is(err, external.ErrUnavailable) {
			break
		}
		standing, err := c.Read(ctx, request)
		switch {
		case err != nil:
		case standing == nil:
		case standing.Run == run:
			return nil
		default:
			return taken()
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
			return unclaimed(last)
		}
	}
	return unclaimed(last)
}

func unclaimed(err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable, "the request cannot be claimed now",
		verdict.WithRetryAfter(2*time.Second), verdict.WithCause(err))
}

func taken() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeClaimTaken, "this request has been claimed before and may have run")
}

// Read returns the claim that stands for a request, or nil.
func (c *Claims) Read(ctx context.Context, request string) (*Claim, error) {
	e, err := c.store.Get(ctx, ClaimPrefix+request)
	if err != nil {
		return nil, err
	}
	if e.Revision == 0 {
		return nil, nil //nolint:nilnil // no claim stands
	}
	var claim Claim
	return &claim, eris.Wrap(cbor.Unmarshal(e.Data, &claim), "decoding a claim")
}

// Release gives a claim back: the run it was made for has surely not run. If that fails the claim stays, and a retry
// is told that it may have run.
func (c *Claims) Release(ctx context.Context, request, run string) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyClaim), claimWithin)
	defer cancel()
	e, err := c.store.Get(ctx, ClaimPrefix+request)
	if err != nil || e.Revision == 0 {
		return
	}
	var claim Claim
	if cbor.Unmarshal(e.Data, &claim) == nil && claim.Run == run {
		_ = c.store.Delete(ctx, ClaimPrefix+request, e.Revision)
	}
}

// leaseFor returns a lease that outlasts the life of a claim.
func (c *Claims) leaseFor(ctx context.Context) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != 0 && c.now().Sub(c.leaseAt) < leaseShare {
		return c.lease, nil
	}
	lease, err := c.store.Lease(ctx, claimLife+leaseShare)
	if err != nil {
		return 0, err
	}
	c.lease, c.leaseAt = lease, c.now()
	return lease, nil
}
