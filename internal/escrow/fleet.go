package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/fleettime"
)

// Fleet connects a holder to the other holders. In a large fleet one holder of each availability zone leads: it writes
// the rows of the others in one write. Holders lend each other what a request needs beyond its holder's own grant.
type Fleet interface {
	// Time returns bounds of the fleet's time, and false if it is unknown.
	Time() (fleettime.Bounds, bool)
	// Settled reports whether this holder has discovered enough of the others to begin; this takes a while after its
	// start.
	Settled() bool
	// Large reports whether the fleet's zones have leaders.
	Large() bool
	// Leads reports whether this holder writes its own rows: it leads its zone, or no leader can be reached.
	Leads() bool
	// LeadersUnreachable reports whether this holder writes its own rows only because the leaders cannot be reached.
	LeadersUnreachable() bool
	// Relays reports whether this holder leads its zone, or holds pools in a zone with relays, and another leader writes for it.
	Relays() bool
	// Submit passes rows to the leader. A holder that relays passes its zone's rows to the leader of another zone.
	// After ErrNotDelivered none of them will be written; after any other error they may be.
	Submit(ctx context.Context, s Submission) (Receipt, error)
	// Role returns this holder's role in holding a customer's tokens.
	Role(customer string) Role
	// ZoneSize returns the number of holders in this holder's zone.
	ZoneSize() int
	// Size returns the number of holders in the fleet, as far as they are known.
	Size() int
	// NeedsNoRows reports whether this holder's zone is so large that only the holders of its pools hold tokens, and this
	// holder holds no pool.
	NeedsNoRows() bool
	// Borrow reserves a part of another holder's grant.
	Borrow(ctx context.Context, l Loan) LoanResult
	// Return ends loans that one holder has given.
	Return(ctx context.Context, lender string, r Repayment) error
}

// Role is a holder's role in holding a customer's tokens.
type Role int

// The roles.
const (
	RoleStandalone Role = iota // holds tokens for itself
	RolePool                   // holds tokens for its zone
	RolePooled                 // another holder of its zone holds tokens for the zone
)

// LoanResult is the outcome of a loan request.
type LoanResult struct {
	Lender      string        // the holder that gave the loan; empty: none
	Unconfirmed []string      // holders that may have given it, but did not answer
	RetryAfter  time.Duration // the earliest time at which a holder that refused may have enough; 0: unknown
	Exhausted   bool          // a pool of the zone reports that the budget is exhausted
}

// ErrNotDelivered reports that no leader has accepted a submission, so none of its rows will be written.
var ErrNotDelivered = errors.New("no leader has received the rows")

// errShortReceipt reports that a leader's receipt does not cover all submitted rows.
var errShortReceipt = errors.New("the receipt does not cover all submitted rows")

// Submission contains the rows that a holder asks its zone's leader to write.
type Submission struct {
	Holder      string             `cbor:"1,keyasint"`
	Parts       []Part             `cbor:"2,keyasint"`
	DemandRates map[string]float64 `cbor:"3,keyasint,omitempty"` // demand at this holder in tokens per second, by customer
	// Zone has submissions of one part each, which a zone's leader relays for the zone's other holders.
	Zone    []Submission `cbor:"4,keyasint,omitempty"`
	Relayed bool         `cbor:"5,keyasint,omitempty"` // it comes from a holder that relays
}

// Part is a Submission's part for one page. It is written only if its Report.Count directly follows the holder's last
// write on the page. So it is written at most once, and never after a newer one.
type Part struct {
	Page   int             `cbor:"1,keyasint"`
	Report Report          `cbor:"2,keyasint"`
	Rows   map[string]Need `cbor:"3,keyasint,omitempty"` // by customer
	// Start is the report of this process's start. It is set until the rows of earlier processes are settled.
	Start Report `cbor:"4,keyasint,omitempty"`
	// Dormant marks the part of a holder that holds no tokens. It adds no row, and only settles those of the holder's
	// earlier processes.
	Dormant bool `cbor:"5,keyasint,omitempty"`
}

// Receipt is the response to a Submission.
type Receipt struct {
	Parts []PartReceipt `cbor:"1,keyasint"`
	Zone  []Receipt     `cbor:"2,keyasint,omitempty"` // for the submissions in Submission.Zone, in the same order
}

// PartReceipt is the state of a page after a Part was applied, or was skipped because it does not follow the holder's
// row.
type PartReceipt struct {
	Page      int                       `cbor:"1,keyasint"`
	Present   bool                      `cbor:"2,keyasint,omitempty"` // the page has the holder
	Report    Report                    `cbor:"3,keyasint"`           // of the holder, as in the page
	Rows      map[string]AccountReceipt `cbor:"4,keyasint,omitempty"`
	Holders   int                       `cbor:"5,keyasint,omitempty"`
	FleetRate float64                   `cbor:"6,keyasint,omitempty"` // tokens per second that all holders use of all customers
	// Unsettled is set if rows of the node's earlier holders are left.
	Unsettled bool  `cbor:"7,keyasint,omitempty"`
	Epoch     int64 `cbor:"8,keyasint,omitempty"`  // of the store, at the page's write; 0: it has none
	Dormant   bool  `cbor:"9,keyasint,omitempty"`  // the part was a dormant holder's, and was taken as one
	Ended     bool  `cbor:"10,keyasint,omitempty"` // the holder's rows were settled, so the part was not written
	Pages     int   `cbor:"11,keyasint,omitempty"` // the number of pages in the store; 0: the leader's build does not state it
}

// AccountReceipt is the state of one customer's account for a holder.
type AccountReceipt struct {
	Row          Row     `cbor:"1,keyasint"`
	Target       int64   `cbor:"2,keyasint,omitempty"` // what the holder should have unspent
	Remaining    int64   `cbor:"3,keyasint,omitempty"` // unspent by all holders
	Ungranted    int64   `cbor:"4,keyasint,omitempty"` // granted to nobody
	OthersDemand int64   `cbor:"5,keyasint,omitempty"` // mean demand of the other holders
	FleetRate    float64 `cbor:"6,keyasint,omitempty"` // tokens per second that all holders use
	ZoneRate     float64 `cbor:"7,keyasint,omitempty"` // tokens per second requested in the zone
	// Unproven is Account.Unproven.
	Unproven int64 `cbor:"8,keyasint,omitempty"`
}

// Loan is a part of a holder's grant that is reserved for a request at another holder.
type Loan struct {
	Holder    string `cbor:"1,keyasint"`
	Number    int64  `cbor:"2,keyasint"` // unique for the requesting holder
	Customer  string `cbor:"3,keyasint"`
	MaxTokens int64  `cbor:"4,keyasint"`
	Rank      int    `cbor:"5,keyasint,omitempty"`
	HeldOnly  bool   `cbor:"6,keyasint,omitempty"` // the lending holder does not refresh its grant for the loan
	// Dormant is set if the requesting holder reports no demand of its own, so that the lending holder counts it.
	Dormant bool `cbor:"7,keyasint,omitempty"`
}

// Repayment ends loans of one lending holder with what was used of each.
type Repayment struct {
	Holder string          `cbor:"1,keyasint"`
	Used   map[int64]int64 `cbor:"2,keyasint"` // by number of the loan
}
