package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ClaimPrefix is the key prefix of all claims.
const ClaimPrefix = "claim/"

const (
	claimTTL           = 24 * time.Hour
	leaseReuseWindow   = time.Hour // claims made within this time share a lease
	maxClaimAttempts   = 12
	claimRetryInterval = 5 * time.Millisecond
	claimTimeout       = 3 * time.Second
	failureBackoff     = 300 * time.Millisecond
)

// Claim is the record that must be in the store before a non-repeatable request is dispatched.
type Claim struct {
	Run   string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
}

// Claims creates claims by compare-and-swap. A request can be claimed once within a day.
type Claims struct {
	store external.Store
	self  string
	now   func() time.Time

	// leaseSem admits one call for a lease at a time. A claim stops waiting for it when its context ends.
	leaseSem *semaphore.Weighted

	mu       sync.Mutex
	lease    int64
	leasedAt time.Time
	failedAt time.Time // when a claim last failed with CodeClaimUnavailable
}

// NewClaims returns the claims of an instance.
func NewClaims(store external.Store, self string, now func() time.Time) *Claims {
	return &Claims{store: store, self: self, now: now, leaseSem: semaphore.NewWeighted(1)}
}

// Acquire claims a request for a run. Its errors have the verdict NotRun, except for CodeClaimTaken: another run of
// the request may have run.
//
// For failureBackoff after a claim has failed with CodeClaimUnavailable, other claims are rejected without asking the
// store.
func (c *Claims) Acquire(ctx context.Context, request, run string) error {
	if c.backingOff() {
		return claimUnavailable(external.ErrUnavailable)
	}
	err := c.acquire(ctx, request, run)
	if err != nil && verdict.From(err).Code() == verdict.CodeClaimUnavailable {
		c.mu.Lock()
		c.failedAt = c.now()
		c.mu.Unlock()
	}
	return err
}

func (c *Claims) backingOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failedAt.IsZero() && c.now().Sub(c.failedAt) < failureBackoff
}

func (c *Claims) acquire(ctx context.Context, request, run string) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyClaim), claimTimeout)
	defer cancel()
	lease, err := c.leaseFor(ctx)
	if err != nil {
		return claimUnavailable(err)
	}
	data, err := cbor.Marshal(Claim{Run: run, Owner: c.self})
	if err != nil {
		return eris.Wrap(err, "encoding a claim")
	}
	var last error
	for range maxClaimAttempts {
		_, err := c.store.Put(ctx, ClaimPrefix+request, data, 0, lease)
		if err == nil {
			return nil
		}
		last = err
		if errors.Is(err, external.ErrUnavailable) {
			break
		}
		existing, err := c.Read(ctx, request)
		switch {
		case err != nil:
		case existing == nil:
		case existing.Run == run:
			return nil
		default:
			return claimTaken()
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
			return claimUnavailable(last)
		}
	}
	return claimUnavailable(last)
}

func claimUnavailable(err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable, "the request cannot be claimed now",
		verdict.WithRetryAfter(2*time.Second), verdict.WithCause(err))
}

func claimTaken() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeClaimTaken, "this request has been claimed before and may have run")
}

// Read returns the existing claim of a request, or nil.
func (c *Claims) Read(ctx context.Context, request string) (*Claim, error) {
	e, err := c.store.Get(ctx, ClaimPrefix+request)
	if err != nil {
		return nil, err
	}
	if e.Revision == 0 {
		return nil, nil //nolint:nilnil // no claim exists
	}
	var claim Claim
	return &claim, eris.Wrap(cbor.Unmarshal(e.Data, &claim), "decoding a claim")
}

// Release deletes a claim whose run has certainly not run. If that fails, the claim stays, and a retry is rejected
// because the request may have run.
func (c *Claims) Release(ctx context.Context, request, run string) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyClaim), claimTimeout)
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

// leaseFor returns a lease that outlasts a claim. Claims that arrive while one is created share it.
func (c *Claims) leaseFor(ctx context.Context) (int64, error) {
	if lease, ok := c.cachedLease(); ok {
		return lease, nil
	}
	if err := c.leaseSem.Acquire(ctx, 1); err != nil {
		return 0, eris.Wrap(err, "waiting for a lease")
	}
	defer c.leaseSem.Release(1)
	if lease, ok := c.cachedLease(); ok {
		return lease, nil
	}
	lease, err := c.store.Lease(ctx, claimTTL+leaseReuseWindow)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.leasedAt = lease, c.now()
	return lease, nil
}

func (c *Claims) cachedLease() (lease int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease, c.lease != 0 && c.now().Sub(c.leasedAt) < leaseReuseWindow
}
