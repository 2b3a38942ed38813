package external

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// A store that is restored from an older copy goes on counting its revisions from the copy's, so a number alone does not order what was written. It
// names its epoch, which rises with each restoration; a revision here holds both, and of two revisions the one of the later epoch is
// greater. Epoch 0 is that of a store that names none.

// numberBits are the bits of a revision that hold the store's number; the epoch stands above them.
const numberBits = 40

// MaxEpoch is the greatest epoch that a revision holds.
const MaxEpoch = 1<<(63-numberBits) - 1

// Revision is the revision of a number within an epoch.
func Revision(epoch, number int64) int64 { return epoch<<numberBits | number }

// KeyRevision is the revision of a key that was last changed at a number; 0, that of a key that does not exist, is the same in all epochs.
func KeyRevision(epoch, number int64) int64 {
	if number == 0 {
		return 0
	}
	return Revision(epoch, number)
}

// EpochOf is a revision's epoch.
func EpochOf(revision int64) int64 { return revision >> numberBits }

// NumberOf is a revision's number within its epoch.
func NumberOf(revision int64) int64 { return revision & (1<<numberBits - 1) }

// MaxCopyAge is more than the age of any copy that a store is restored from: what was written longer ago is in it.
const MaxCopyAge = 30 * time.Second

// ErrEarlierEpoch reports that an answer is of an epoch before the one that is known. It matches ErrUnavailable.
var ErrEarlierEpoch = fmt.Errorf("%w: its answer is of an earlier epoch", ErrUnavailable)

// EpochError is the error of a call whose answer named the store's epoch.
type EpochError struct {
	Epoch int64
	Err   error
}

// Error implements error.
func (e *EpochError) Error() string { return e.Err.Error() }

// Unwrap gives the call's error.
func (e *EpochError) Unwrap() error { return e.Err }

// Restoration is a rise of the store's epoch.
type Restoration struct {
	Before, Epoch int64
	Known, Number int64         // the greatest number known of the epoch before, and the one that the first answer of the new epoch named; 0: none
	Age           time.Duration // of the copy when this instance learnt of it, at least; 0: not known
}

// LostRevisions is how many revisions the store is known to have lost; 0 where no number of the new epoch was named.
func (r Restoration) LostRevisions() int64 {
	if r.Number == 0 {
		return 0
	}
	return max(0, r.Known-r.Number)
}

// Epochs knows the store's epoch, as the latest of those that its answers and other instances have named. It never falls.
type Epochs struct {
	now func() time.Time

	mu       sync.Mutex
	first    int64
	current  int64
	number   int64 // the greatest known of the current epoch
	samples  []sample
	restored []func(Restoration)
	earlier  func(epoch, known int64)
	ignored  int64 // the last earlier epoch that was named
}

// sample is when a number was first known.
type sample struct {
	number int64
	at     time.Time
}

const (
	sampleEvery = 250 * time.Millisecond
	mostSamples = 120
)

// EpochsOption changes an Epochs.
type EpochsOption func(*Epochs)

// WithEpochClock replaces the clock by which the age of a copy is told.
func WithEpochClock(now func() time.Time) EpochsOption { return func(e *Epochs) { e.now = now } }

// NewEpochs makes an Epochs that knows no epoch.
func NewEpochs(opts ...EpochsOption) *Epochs {
	e := &Epochs{now: time.Now, earlier: func(int64, int64) {}, ignored: -1}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// OnRestored adds what is notified of each restoration. It must not block, nor call the Epochs.
func (e *Epochs) OnRestored(f func(Restoration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restored = append(e.restored, f)
}

// OnEarlier sets what is notified of answers that name an epoch before the known one, or none any more: once for each such epoch in a row. It must not
// block, nor call the Epochs.
func (e *Epochs) OnEarlier(f func(epoch, known int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.earlier = f
}

// Current is the store's epoch; 0: it has named none.
func (e *Epochs) Current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Restored reports whether the store was restored since this instance first knew its epoch.
func (e *Epochs) Restored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current > e.first
}

// Observe takes an epoch that was named, and a number of it; 0: none. ErrEarlierEpoch reports that a later one is known.
func (e *Epochs) Observe(epoch, number int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case epoch < e.current:
		if epoch != e.ignored {
			e.ignored = epoch
			e.earlier(epoch, e.current)
		}
		return ErrEarlierEpoch
	case epoch == e.current:
		e.ignored = -1
		e.sample(number)
		return nil
	}
	r := Restoration{Before: e.current, Epoch: epoch, Known: e.number, Number: number, Age: e.age(number)}
	e.current, e.number, e.samples = epoch, 0, nil
	e.sample(number)
	if r.Before == 0 {
		e.first = epoch
		return nil
	}
	for _, f := range e.restored {
		f(r)
	}
	return nil
}

// sample keeps when a number was first known. The caller holds mu.
func (e *Epochs) sample(number int64) {
	if number <= e.number {
		return
	}
	e.number = number
	now := e.now()
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < sampleEvery {
		return
	}
	if len(e.samples) == mostSamples {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, sample{number: number, at: now})
}

// age is the time since the first number after a given one was known. The caller holds mu.
func (e *Epochs) age(number int64) time.Duration {
	if number == 0 {
		return 0
	}
	for _, s := range e.samples {
		if s.number > number {
			return e.now().Sub(s.at)
		}
	}
	return 0
}

// observeError takes the epoch that the answer to a call that failed has named.
func (e *Epochs) observeError(err error) error {
	var named *EpochError
	if !errors.As(err, &named) {
		return err
	}
	if old := e.Observe(named.Epoch, 0); old != nil {
		return old
	}
	return err
}
