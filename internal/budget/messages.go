package budget

import "github.com/ledgemount/ledgemount/internal/mesh"

// Kinds of the messages between serving instances and holders.
const (
	KindReserve mesh.Kind = "budget.reserve"
	KindUpdate  mesh.Kind = "budget.update"
	KindSettle  mesh.Kind = "budget.settle"
	KindSync    mesh.Kind = "budget.sync"
	KindFence   mesh.Kind = "budget.fence"
	KindRecall  mesh.Kind = "budget.recall"
	// KindUnreported is sent by a holder that ends.
	KindUnreported mesh.Kind = "budget.unreported"
)

// Place is where a request runs. Run is the id of the run at the endpoint.
type Place struct {
	Run      string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
	Attempt  int    `cbor:"3,keyasint"`
}

// ReserveReq asks to reserve tokens for a request before it is dispatched.
type ReserveReq struct {
	Request  string `cbor:"1,keyasint"`
	Budget   string `cbor:"2,keyasint"`
	Customer string `cbor:"3,keyasint"`
	Tokens   int64  `cbor:"4,keyasint"`
	Place    Place  `cbor:"5,keyasint"`
	Keyed    bool   `cbor:"6,keyasint"` // the caller supplied an idempotency key, so the request may be repeated
	Takeover bool   `cbor:"7,keyasint"` // the caller repeated the request and the first serving instance is lost
}

// Outcome is the result of a ReserveReq.
type Outcome int

// Outcomes of a ReserveReq.
const (
	Granted     Outcome = iota // the tokens are reserved for this serving instance
	Existing                   // another serving instance has the request open
	Settled                    // the request has been billed already
	Absent                     // a take-over found no reservation of the request
	Unconfirmed                // the response to a take-over was lost; only the client reports it
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Existing:
		return "existing"
	case Settled:
		return "settled"
	case Absent:
		return "absent"
	case Unconfirmed:
		return "unconfirmed"
	}
	return "unknown"
}

// ReserveResp is the response to a ReserveReq.
type ReserveResp struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Holder  string  `cbor:"2,keyasint"`
	Tokens  int64   `cbor:"3,keyasint"`
	Owner   string  `cbor:"4,keyasint,omitempty"`
	Place   Place   `cbor:"5,keyasint"`

	// HolderAddr is the holder's address; the client sets it.
	HolderAddr string `cbor:"-"`
}

// UpdateReq moves an open reservation to another endpoint, attempt or run, or reports the tokens used by the run at Place.
type UpdateReq struct {
	Request string `cbor:"1,keyasint"`
	Budget  string `cbor:"2,keyasint"`
	Place   Place  `cbor:"3,keyasint"`
	Used    int64  `cbor:"4,keyasint,omitempty"` // tokens, if the run has ended and is not settled yet; otherwise 0
}

// SettleReq closes a reservation and reports the tokens used. Zero tokens means that nothing ran.
type SettleReq struct {
	Request string `cbor:"1,keyasint"`
	Budget  string `cbor:"2,keyasint"`
	Run     string `cbor:"3,keyasint"`
	Holder  string `cbor:"4,keyasint"`
	Tokens  int64  `cbor:"5,keyasint"`
}

// SyncReq asks which charges have reached the store, and confirms those that the client has dropped.
type SyncReq struct {
	Holder      string   `cbor:"1,keyasint"`
	Pending     []string `cbor:"2,keyasint"` // settled requests
	Unconfirmed []string `cbor:"3,keyasint"` // open requests that a successor may not have taken over yet
	Confirm     []string `cbor:"4,keyasint"`
}

// SyncResp is the response to a SyncReq.
type SyncResp struct {
	Holder  string   `cbor:"1,keyasint"` // the responding holder; if it is not the requested one, that one no longer exists
	Flushed []string `cbor:"2,keyasint"`
	Known   []string `cbor:"3,keyasint"`
}

// FenceReq notifies a client that a holder is fenced: the client must never use a reservation of it again.
type FenceReq struct {
	Holder    string    `cbor:"1,keyasint"`
	Successor string    `cbor:"2,keyasint"`
	Peer      mesh.Peer `cbor:"3,keyasint"`
	Client    string    `cbor:"4,keyasint"` // the process that has to report
}

// Report is one reservation or charge that a client tracks. Chain lists the holders it has belonged to, oldest first.
type Report struct {
	Request  string   `cbor:"1,keyasint"`
	Budget   string   `cbor:"2,keyasint"`
	Customer string   `cbor:"3,keyasint"`
	Tokens   int64    `cbor:"4,keyasint"`
	Open     bool     `cbor:"5,keyasint"`
	Keyed    bool     `cbor:"6,keyasint"`
	Place    Place    `cbor:"7,keyasint"`
	Owner    string   `cbor:"8,keyasint"`
	Chain    []string `cbor:"9,keyasint"`
	// Unreported means that the holder has ended and has not reported the charge, whether it is stored or not.
	Unreported bool `cbor:"10,keyasint,omitempty"`
	// Used is the tokens that the run of an open reservation has used, if it has ended and is not settled yet.
	Used int64 `cbor:"11,keyasint,omitempty"`
}

// UnreportedReq notifies a client that a holder has ended and does not report the charges of some requests.
type UnreportedReq struct {
	Holder   string   `cbor:"1,keyasint"`
	Requests []string `cbor:"2,keyasint"`
}

// FenceResp lists a client's reservations and charges at the fenced holder.
type FenceResp struct {
	Client  string   `cbor:"2,keyasint"` // the process that responds
	Reports []Report `cbor:"1,keyasint"`
}

// RecallReq asks a holder to return escrow that it does not need, since the budget is running out elsewhere.
type RecallReq struct {
	Budget string `cbor:"1,keyasint"`
	Need   int64  `cbor:"2,keyasint"`
}

// RecallResp reports how much was returned to the store.
type RecallResp struct {
	Returned int64 `cbor:"1,keyasint"`
}
