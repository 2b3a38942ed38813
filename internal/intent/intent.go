// Package intent derives plans from operators' intents, and applies confirmed plans to the configuration and the budgets.
package intent

import (
	"github.com/ledgemount/ledgemount/internal/declare"
)

// Intent is a change that an operator requests. Its parts take effect together, as one change.
type Intent struct {
	Note     string                    `json:"note,omitempty"`
	Apply    declare.Declarations      `json:"apply"`              // objects to add or replace
	Replace  *declare.Declarations     `json:"replace,omitempty"`  // complete new configuration; objects not in it are removed
	Remove   []string                  `json:"remove,omitempty"`   // paths of objects to remove, such as endpoints/e1
	Drain    []string                  `json:"drain,omitempty"`    // endpoints that should get no new work
	Activate []string                  `json:"activate,omitempty"` // drained endpoints that should get work again
	Move     []Move                    `json:"move,omitempty"`
	Budgets  map[string]declare.Budget `json:"budgets,omitempty"` // deposits to make, unless they have been made already
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

// Work is the number of an endpoint's requests in progress when a plan was made.
type Work struct {
	Endpoint string `json:"endpoint"`
	InFlight int    `json:"in_flight"`
}

// Plan describes the changes that its confirmation makes.
type Plan struct {
	ID          string           `json:"id"`
	Note        string           `json:"note,omitempty"`
	BaseVersion int64            `json:"base_version"` // the configuration's version that it is derived from
	Changes     []declare.Change `json:"changes"`
	Deposits    []Deposit        `json:"deposits,omitempty"`
	WaitsFor    []Work           `json:"waits_for,omitempty"` // work in progress at endpoints that change
	Unseen      []string         `json:"unseen,omitempty"`    // instances that did not respond while the plan was made
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Changes) == 0 && len(p.Deposits) == 0 }

// State is the state of a confirmed plan.
type State string

// The states of a confirmed plan.
const (
	StateAccepted   State = "accepted"   // the store has accepted it
	StateUnknown    State = "unknown"    // the store's response was lost and reading back failed; confirm again
	StateIncomplete State = "incomplete" // the configuration is accepted, some deposits are not; confirm again
	StateUnchanged  State = "unchanged"  // the plan changed nothing
)

// Result is the result of a confirmation.
type Result struct {
	Plan    string   `json:"plan"`
	State   State    `json:"state"`
	Version int64    `json:"version"`
	Zones   []Report `json:"zones,omitempty"`
}

// Report is the configuration version in force at one instance.
type Report struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  int64  `json:"version"`
	Answered bool   `json:"answered"`
}
