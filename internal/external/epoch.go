package external

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// A store that is restored from an older copy continues to count its revisions from the copy's. A number alone therefore
// does not order the writes. The store names its epoch, which rises with each restoration. A revision in this package
// holds both the epoch and the number, so that a revision of a later epoch is greater. Epoch 0 is that of a store that
// names none.

// numberBits is the number of low bits of a revision that hold the store's number. The epoch is in the bits above.
const numberBits = 40

// MaxEpoch is the greatest epoch that a revision can hold.
const MaxEpoch = 1<<(63-numberBits) - 1

// Revision returns the revision of a number within an epoch.
func Revision(epoch, number int64) int64 { return epoch<<numberBits | number }

// KeyRevision returns the revision of a key that was last changed at a number. The number 0 stands for a key that does
// not exist, and gives revision 0 in every epoch.
func KeyRevision(epoch, number int64) int64 {
	if number == 0 {
		return 0
	}
	return Revision(epoch, number)
}

// EpochOf returns a revision's epoch.
func EpochOf(revision int64) int64 { return revision >> numberBits }

// NumberOf returns a revision's number within its epoch.
func NumberOf(revision int64) int64 { return revision & (1<<numberBits - 1) }

// MaxCopyAge is an upper bound of the age of a copy from which a store is restored. Every copy contains all that was
// written more than MaxCopyAge before the restoration.
const MaxCopyAge = 30 * time.Second

// ErrEarlierEpoch reports a response of an earlier epoch than the current one. It matches ErrUnavailable.
var ErrEarlierEpoch = fmt.Errorf("%w: its response is of an earlier epoch", ErrUnavailable)

// EpochError is the error of a failed call whose response named the store's epoch.
type EpochError struct {
	Epoch int64
	Err   error
}

// Error implements error.
func (e *EpochError) Error() string { return e.Err.Error() }

// Unwrap returns the call's error.
func (e *EpochError) Unwrap() error { return e.Err }

// Restoration describes a rise of the store's epoch.
type Restoration struct {
	Before, Epoch int64
	// Known is the greatest number observed in the previous epoch. Number is the one that the first response of the new
	// epoch named; 0: none.
	Known, Number int64
	Age           time.Duration // lower bound of the copy's age when this instance detected the restoration; 0: unknown
}

// LostRevisions returns how many revisions the store is known to have lost. It is 0 if no number of the new epoch was
// named.
func (r Restoration) LostRevisions() int64 {
	if r.Number == 0 {
		return 0
	}
	return max(0, r.Known-r.Number)
}

// Epochs tracks the store's epoch: the latest of those that responses and other instances have named. It never
// decreases.
type Epochs struct {
	now func() time.Time

	mu         sync.Mutex
	first      int64
	current    int64
	number     int64 // the greatest number observed in the current epoch
	samples    []sample
	onRestored []func(Restoration)
	onEarlier  func(epoch, known int64)
	ignored    int64 // the last earlier epoch that was reported to onEarlier; -1: none
}

// sample records when a number was first observed.
type sample struct {
	number int64
	at     time.Time
}

const (
	sampleInterval = 250 * time.Millisecond
	maxSamples     = 120
)

// EpochsOption changes an Epochs.
type EpochsOption func(*Epochs)

// WithEpochClock replaces the clock that measures the age of a copy.
func WithEpochClock(now func() time.Time) EpochsOption { return func(e *Epochs) { e.now = now } }

// NewEpochs makes an Epochs that has observed no epoch.
func NewEpochs(opts ...EpochsOption) *Epochs {
	e := &Epochs{now: time.Now, onEarlier: func(int64, int64) {}, ignored: -1}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// OnRestored adds a callback for each restoration. The callback must neither block nor call the Epochs.
func (e *Epochs) OnRestored(f func(Restoration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRestored = append(e.onRestored, f)
}

// OnEarlier sets the callback for responses that name an earlier epoch than the current one, or none any more. It is
// called once for consecutive responses that name the same epoch. It must neither block nor call the Epochs.
func (e *Epochs) OnEarlier(f func(epoch, known int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onEarlier = f
}

// Current returns the store's epoch; 0: none was named.
func (e *Epochs) Current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Restored reports whether the store was restored since this instance first observed its epoch.
func (e *Epochs) Restored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current > e.first
}

// Observe records an epoch that a response or another instance has named, and a number within it; 0: no number. It
// returns ErrEarlierEpoch if the current epoch is a later one.
func (e *Epochs) Observe(epoch, number int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case epoch < e.current:
		if epoch != e.ignored {
			e.ignored = epoch
			e.onEarlier(epoch, e.current)
		}
		return ErrEarlierEpoch
	case epoch == e.current:
		e.ignored = -1
		e.addSample(number)
		return nil
	}
	r := Restoration{Before: e.current, Epoch: epoch, Known: e.number, Number: number, Age: e.age(number)}
	e.current, e.number, e.samples = epoch, 0, nil
	e.addSample(number)
	if r.Before == 0 {
		e.first = epoch
		return nil
	}
	for _, f := range e.onRestored {
		f(r)
	}
	return nil
}

// addSample records when a number was first observed. The caller holds mu.
func (e *Epochs) addSample(number int64) {
	if number <= e.number {
		return
	}
	e.number = number
	now := e.now()
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < sampleInterval {
		return
	}
	if len(e.samples) == maxSamples {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, sample{number: number, at: now})
}

// age returns the time since a number greater than the given one was first observed. The caller holds mu.
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

// observeError records the epoch that the response of a failed call has named, if any. It returns the call's error, or
// ErrEarlierEpoch.
func (e *Epochs) observeError(err error) error {
	var named *EpochError
	if !errors.As(err, &named) {
		return err
	}
	if earlierErr := e.Observe(named.Epoch, 0); earlierErr != nil {
		return earlierErr
	}
	return err
}
