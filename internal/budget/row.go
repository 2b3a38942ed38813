package budget

import (
	"errors"
	"sort"

	"github.com/ledgemount/ledgemount/internal/compat"
)

// Reasons why an operation on a row is rejected.
var (
	ErrExhausted = errors.New("the budget has too little left")
	ErrUnknown   = errors.New("no such budget")
	ErrNoGrant   = errors.New("the holder has no grant on this budget")
	ErrInvalid   = errors.New("the amount is not valid")
	ErrCommitted = errors.New("the amount is already granted or spent")
)

// maxTokens bounds every amount, so that sums of a row's amounts cannot overflow.
const maxTokens = int64(1) << 53

// Row is a budget as stored. Amounts are tokens.
//
// Invariant: Closed + the sum of Grants[].Granted <= the sum of Deposits.
type Row struct {
	Customer string           `cbor:"1,keyasint"`
	Deposits map[string]int64 `cbor:"2,keyasint"` // by deposit id, each counted once; negative amounts reduce the budget
	Closed   int64            `cbor:"3,keyasint"` // spent through holders whose grants have ended
	Grants   map[string]Grant `cbor:"4,keyasint"` // by holder

	unknown compat.UnknownFields // fields written by a newer build
}

// Grant is the total that one holder may spend, and the total that it had spent when it last wrote the row.
type Grant struct {
	Granted int64  `cbor:"1,keyasint"`
	Settled int64  `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"` // increases with each write; shows whether a write with a lost response took effect
}

// Deposited returns the sum of the deposits.
func (r *Row) Deposited() int64 {
	var n int64
	for _, d := range r.Deposits {
		n += d
	}
	return n
}

// Committed returns the tokens that are spent or granted.
func (r *Row) Committed() int64 {
	n := r.Closed
	for _, g := range r.Grants {
		n += g.Granted
	}
	return n
}

// Free returns the tokens that can still be granted.
func (r *Row) Free() int64 { return r.Deposited() - r.Committed() }

// Spent returns the tokens that are spent, as far as the holders have written them to the row.
func (r *Row) Spent() int64 {
	n := r.Closed
	for _, g := range r.Grants {
		n += g.Settled
	}
	return n
}

// Holders returns the holders with grants, sorted.
func (r *Row) Holders() []string {
	out := make([]string, 0, len(r.Grants))
	for h := range r.Grants {
		out = append(out, h)
	}
	sort.Strings(out)
	return out
}

// Deposit adds an amount once per id. A negative amount reduces the budget, but never below the committed tokens.
func (r *Row) Deposit(id string, n int64) error {
	if n > maxTokens || n < -maxTokens || n == 0 {
		return ErrInvalid
	}
	if _, ok := r.Deposits[id]; ok {
		return nil
	}
	if n < 0 && r.Free()+n < 0 {
		return ErrCommitted
	}
	if r.Deposited() > maxTokens-n {
		return ErrInvalid
	}
	if r.Deposits == nil {
		r.Deposits = make(map[string]int64)
	}
	r.Deposits[id] = n
	return nil
}

// Increase raises a holder's grant by n and records what the holder has spent.
func (r *Row) Increase(holder string, n, settled int64, seq uint64) error {
	if n < 0 {
		return ErrInvalid
	}
	if n > r.Free() {
		return ErrExhausted
	}
	if r.Grants == nil {
		r.Grants = make(map[string]Grant)
	}
	g := r.Grants[holder]
	r.Grants[holder] = Grant{Granted: g.Granted + n, Settled: settled, Seq: seq}
	return nil
}

// Return lowers a holder's grant by n, which must be unspent. A fully spent grant stays on the row until Close.
func (r *Row) Return(holder string, n, settled int64, seq uint64) error {
	g, ok := r.Grants[holder]
	if !ok {
		return ErrNoGrant
	}
	if n < 0 || n > g.Granted-settled {
		return ErrInvalid
	}
	r.Grants[holder] = Grant{Granted: g.Granted - n, Settled: settled, Seq: seq}
	return nil
}

// Close ends a holder's grant: settled tokens are spent, the rest is free again.
func (r *Row) Close(holder string, settled int64) error {
	g, ok := r.Grants[holder]
	if !ok {
		return ErrNoGrant
	}
	if settled < 0 || settled > g.Granted {
		return ErrInvalid
	}
	r.Closed += settled
	delete(r.Grants, holder)
	return nil
}

// Reclaim ends a dead holder's grant: settled tokens are spent, open tokens become part of the successor's grant, and
// the rest is free again. The successor gets a grant even if there are no open tokens: its Seq shows which of several
// holders that tried has reclaimed the grant.
func (r *Row) Reclaim(dead, successor string, settled, open int64, seq uint64) error {
	g, ok := r.Grants[dead]
	if !ok {
		return ErrNoGrant
	}
	if settled < 0 || open < 0 || settled > g.Granted || open > g.Granted-settled {
		return ErrInvalid
	}
	r.Closed += settled
	delete(r.Grants, dead)
	s := r.Grants[successor]
	r.Grants[successor] = Grant{Granted: s.Granted + open, Settled: s.Settled, Seq: seq}
	return nil
}

// Valid reports whether the invariant holds.
func (r *Row) Valid() bool {
	for _, g := range r.Grants {
		if g.Granted < 0 || g.Settled < 0 || g.Settled > g.Granted {
			return false
		}
	}
	return r.Closed >= 0 && r.Committed() <= r.Deposited()
}
