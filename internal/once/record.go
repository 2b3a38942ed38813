package once

import (
	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Record is the registry's entry for a keyed request.
type Record struct {
	Request     string       `cbor:"1,keyasint"`
	Fingerprint uint64       `cbor:"2,keyasint"` // hash of the body: the same key with another body is rejected; 0: unknown
	Owner       mesh.Peer    `cbor:"3,keyasint"` // the serving instance
	Place       budget.Place `cbor:"4,keyasint"` // set before the request is dispatched
	HolderAddr  string       `cbor:"5,keyasint"` // address of the budget's holder
	Done        bool         `cbor:"6,keyasint"`
	Tokens      int64        `cbor:"7,keyasint"` // billed, once done
	// Term increases with each take-over. Two jobs of one instance have the same owner and different terms. 0: the record
	// comes from a build without terms, or from a holder that does not know the term.
	Term int64 `cbor:"8,keyasint,omitempty"`
}

// firstTerm is the term of a request's first owner.
const firstTerm = 1

// Unbilled reports whether nothing has been or will be billed for the request unless its owner dispatches it. Only
// the current owner may do so.
func (r Record) Unbilled() bool { return r.Place.Run == "" || (r.Done && r.Tokens == 0) }

// Billed reports whether the request is billed, or will be, for the run at Place.
func (r Record) Billed() bool { return r.Done && r.Tokens > 0 }

// OwnedBy reports whether an incarnation of an instance owns the request.
func (r Record) OwnedBy(p mesh.Peer) bool { return r.Owner.IncarnationID() == p.IncarnationID() }

// supersedes reports whether an update of the record is to be ignored: a billed run is final, a later term wins, and
// within a term only the owner changes the record.
func (r Record) supersedes(update Record) bool {
	switch {
	case r.Billed() && (!update.Billed() || update.Place.Run != r.Place.Run):
		return true
	case r.Term > 0 && update.Term > 0 && r.Term != update.Term:
		return r.Term > update.Term
	case r.Term == 0 && update.Term > 0:
		return false
	}
	return !r.OwnedBy(update.Owner)
}
