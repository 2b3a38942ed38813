// Package intent turns what operators want into plans, and confirmed plans into configuration and deposits.
package intent

import (
	"github.com/ledgemount/ledgemount/internal/declare"
)

// Intent is what an operator wants. Its parts act together, as one change.
type Intent struct {
	Note     string                    `json:"note,omitempty"`
	Apply    declare.Declarations      `json:"apply"`             // adds or replaces what it names
	Replace  *declare.Declarations     `json:"replace,omitempty"` // the whole configuration: what it does not name goes
	Remove   []string                  `json:"remove,omitempty"`  // paths such as endpoints/e1
	Drain    []string                  `json:"drain,omitempty"`   // endpoints that should take no new work
	Activate []string                  `json:"activate,omitempty"`
	Move     []Move                    `json:"move,omitempty"`
	Budgets  map[string]declare.Budget `json:"budgets,omitempty"` // deposits that are not there yet are made
}

// Move loads another model version on the endpoints of a pool.
type Move struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
}

// Deposit is one deposit that a plan makes.
type Deposit struct {
	Budget   string `json:"budget"`
	Customer string `json:"customer"`
	ID       string `json:"id"`
	Tokens   int64  `json:"tokens"`
}

// Work is what an endpoint has in progress in one zone, as a plan saw it.
type Work struct {
	Endpoint string `json:"endpoint"`
	InFlight int    `json:"in_flight"`
}

// Plan reports what confirming it will do. Nothing has changed yet.
type Plan struct {
	ID          string           `json:"id"`
	Note        string           `json:"note,omitempty"`
	BaseVersion int64            `json:"base_version"` // the version that it stands on
	Changes     []declare.Change `json:"changes"`
	Deposits    []Deposit        `json:"deposits,omitempty"`
	WaitsFor    []Work           `json:"waits_for,omitempty"` // work in progress that a drain waits for
	Unseen      []string         `json:"unseen,omitempty"`    // instances that did not answer while the plan was made
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Changes) == 0 && len(p.Deposits) == 0 }

// State reports how far a confirmed plan has come.
type State string

// The states of a confirmed plan.
const (
	StateAccepted   State = "accepted"   // the store has it
	StateUnknown    State = "unknown"    // the store's answer was lost and it cannot be read back; confirm again
	StateIncomplete State = "incomplete" // the configuration is accepted, some deposits are not; confirm again
	StateUnchanged  State = "unchanged"  // the plan changed nothing
)

// Result answers a confirmation.
type Result struct {
	Plan    string   `json:"plan"`
	State   State    `json:"state"`
	Version int64    `json:"version"`
	Zones   []Report `json:"zones,omitempty"`
}

// Report reports what an instance has in force.
type Report struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  int64  `json:"version"`
	Answered bool   `json:"answered"`
}
