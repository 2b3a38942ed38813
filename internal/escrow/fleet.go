package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/fleettime"
)

// Fleet is the way to the other holders. In a large fleet one holder of each zone leads: it writes the rows of the others in one
// go. All lend each other what a request needs beyond its holder's own grant.
type Fleet interface {
	// Time bounds the fleet's time of day; false while it is not known.
	Time() (fleettime.Bounds, bool)
	// Settled reports whether this holder knows the others well enough to begin: not just after its start.
	Settled() bool
	// Large reports whether the fleet's zones are led.
	Large() bool
	// Leads reports whether this holder does its own writing: it leads, or no leader can be reached.
	Leads() bool
	// Stranded reports whether it does so only because those that lead cannot be reached.
	Stranded() bool
	// Relays reports whether this holder leads its zone, but the leader of another zone writes for that one too.
	Relays() bool
	// Submit hands rows to the leader; a holder that relays hands its zone's to the leader of another zone. ErrNotTaken promises that none of them will be written; after any other error they may be.
	Submit(ctx context.Context, s Submission) (Receipt, error)
	// Role is this holder's part in keeping a customer's tokens.
	Role(customer string) Role
	// ZoneSize is the number of holders of the own zone.
	ZoneSize() int
	// Borrow reserves a part of another holder's grant.
	Borrow(ctx context.Context, l Loan) LoanResult
	// Return ends loans that one holder has given.
	Return(ctx context.Context, lender string, r Repayment) error
}

// Role is a holder's part in keeping a customer's tokens.
type Role int

// The roles.
const (
	RoleStandalone Role = iota // it keeps what it needs itself
	RolePool                   // it keeps what its zone needs
	RolePooled                 // another holder of its zone keeps that
)

// LoanResult tells what became of a loan.
type LoanResult struct {
	Lender      string        // who has given it; empty: nobody
	Unconfirmed []string      // who may have given it, though no answer came
	RetryAfter  time.Duration // the first moment at which one that refused may have enough; 0: none has said
}

// ErrNotDelivered reports that a leader has not seen a submission.
var ErrNotDelivered = errors.New("no leader has taken the rows")

// errShortReceipt reports that a leader did not tell of all rows.
var errShortReceipt = errors.New("the receipt does not tell of all rows")

// Submission is what a holder asks its zone's leader to write.
type Submission struct {
	Holder      string             `cbor:"1,keyasint"`
	Parts       []Part             `cbor:"2,keyasint"`
	DemandRates map[string]float64 `cbor:"3,keyasint,omitempty"` // tokens a second that are asked for here, by customer
	// Zone are submissions of one part each that the leader of a zone passes on for that zone's other holders.
	Zone    []Submission `cbor:"4,keyasint,omitempty"`
	Relayed bool         `cbor:"5,keyasint,omitempty"` // it comes from the leader of another zone
}

// Part is a Submission's part for one page. It is written only if the holder's last write there is the one that Report.Count
// follows, so it is written once at most, and never after a newer one.
type Part struct {
	Page   int             `cbor:"1,keyasint"`
	Report Report          `cbor:"2,keyasint"`
	Rows   map[string]Need `cbor:"3,keyasint,omitempty"` // by customer
	Start  Report          `cbor:"4,keyasint,omitempty"` // until rows of earlier processes are settled: this process's start
}

// Receipt answers a Submission.
type Receipt struct {
	Parts []PartReceipt `cbor:"1,keyasint"`
	Zone  []Receipt     `cbor:"2,keyasint,omitempty"` // of the submissions in Submission.Zone, in their order
}

// PartReceipt reports how a page stands after a Part was taken, or was not because the holder's row is another one.
type PartReceipt struct {
	Page      int                       `cbor:"1,keyasint"`
	Present   bool                      `cbor:"2,keyasint,omitempty"` // the page knows the holder
	Report    Report                    `cbor:"3,keyasint"`           // of the holder, as it stands there
	Rows      map[string]AccountReceipt `cbor:"4,keyasint,omitempty"`
	Holders   int                       `cbor:"5,keyasint,omitempty"`
	FleetRate float64                   `cbor:"6,keyasint,omitempty"` // tokens a second that all holders use of all customers
	// Unsettled: rows of the node's earlier holders are left
	Unsettled bool  `cbor:"7,keyasint,omitempty"`
	Epoch     int64 `cbor:"8,keyasint,omitempty"` // of the store, when the page was written; 0: it names none
}

// AccountReceipt is how one customer's account stands for a holder.
type AccountReceipt struct {
	Row          Row     `cbor:"1,keyasint"`
	Target       int64   `cbor:"2,keyasint,omitempty"` // what the holder's unspent part should be
	Remaining    int64   `cbor:"3,keyasint,omitempty"` // unspent by anyone
	Ungranted    int64   `cbor:"4,keyasint,omitempty"` // granted to nobody
	OthersDemand int64   `cbor:"5,keyasint,omitempty"` // mean of what other holders want
	FleetRate    float64 `cbor:"6,keyasint,omitempty"` // tokens a second that all holders use
	ZoneRate     float64 `cbor:"7,keyasint,omitempty"` // tokens a second that the zone is asked for
	// Unproven is the account's.
	Unproven int64 `cbor:"8,keyasint,omitempty"`
}

// Loan is a part of a holder's grant that a request at another holder reserves.
type Loan struct {
	Holder    string `cbor:"1,keyasint"`
	Number    int64  `cbor:"2,keyasint"` // of the loan, by its holder
	Customer  string `cbor:"3,keyasint"`
	MaxTokens int64  `cbor:"4,keyasint"`
	Rank      int    `cbor:"5,keyasint,omitempty"`
	HeldOnly  bool   `cbor:"6,keyasint,omitempty"` // only of what the lender has; it draws nothing for it
}

// Repayment ends loans of one lender: what was used of each.
type Repayment struct {
	Holder string          `cbor:"1,keyasint"`
	Used   map[int64]int64 `cbor:"2,keyasint"` // by number
}
