// Package declare has the operators' declarations: types, checks, diff and the versioned document.
package declare

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Key is the store's key of the document.
const Key = "config"

// EndpointKind tells model engines from plain services.
type EndpointKind string

// The kinds.
const (
	KindEngine EndpointKind = "engine"
	KindPlain  EndpointKind = "plain"
)

// EndpointState is what an operator wants of an endpoint.
type EndpointState string

// The states.
const (
	StateActive   EndpointState = "active"
	StateDraining EndpointState = "draining" // takes no new work, finishes what it has
)

// Zone is an availability zone. Declared zones decide where the key of a request is looked up.
type Zone struct {
	Region string `json:"region" validate:"required"`
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	Zone        string        `json:"zone" validate:"required"`
	URL         string        `json:"url" validate:"required,http_url"`
	Pool        string        `json:"pool" validate:"required"`
	Version     string        `json:"version,omitempty"` // model version that it should have loaded
	Role        string        `json:"role,omitempty"`
	State       EndpointState `json:"state" validate:"oneof=active draining"`
	Capacity    int           `json:"capacity" validate:"min=1,max=100000"` // requests in progress, over all instances of the zone
	ChecksFence bool          `json:"checks"`                               // compares the fence of what it is sent
}

// Pool is a set of endpoints that can serve the same requests.
type Pool struct {
	Kind  EndpointKind `json:"kind" validate:"oneof=engine plain"`
	Model string       `json:"model,omitempty" validate:"required_if=Kind engine"`
	Spill bool         `json:"spill"` // other zones' endpoints may be used when the own zone has none free
}

// Class is a priority class with its service levels.
type Class struct {
	Priority        int     `json:"priority" validate:"min=0,max=100"` // smaller is more urgent
	DeadlineMS      int64   `json:"deadline_ms" validate:"min=1,max=3600000"`
	FirstTokenMS    int64   `json:"first_token_ms" validate:"min=1"`
	BetweenTokensMS int64   `json:"between_tokens_ms" validate:"min=1"`
	Objective       float64 `json:"objective" validate:"gt=0,lt=1"` // share of requests that must be good
}

// Deadline is the class's deadline when a caller gives none.
func (c Class) Deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

// KeyRef is one key of a customer: the hash of the secret, and what requests with it may use.
type KeyRef struct {
	Hash  string `json:"hash" validate:"len=64,hexadecimal"`
	Class string `json:"class" validate:"required"`
}

// Customer is who pays.
type Customer struct {
	Budget string            `json:"budget" validate:"required"` // used when a request names none
	Region string            `json:"region,omitempty"`
	Keys   map[string]KeyRef `json:"keys" validate:"dive"` // by a name that operators choose
}

// Route makes a plain service reachable under a path.
type Route struct {
	Path       string `json:"path" validate:"required,startswith=/"`
	Pool       string `json:"pool" validate:"required"`
	Tokens     int64  `json:"tokens" validate:"min=1,max=1000000000"` // price of one call
	Repeatable bool   `json:"repeatable"`
}

// Release is an operator's word that a client of a dead holder can spend nothing any more.
type Release struct {
	Holder string `json:"holder" validate:"required"`
	Client string `json:"client" validate:"required"`
}

// Declarations are everything that operators declare, but for budgets.
type Declarations struct {
	Zones     map[string]Zone     `json:"zones,omitempty" validate:"dive"`
	Endpoints map[string]Endpoint `json:"endpoints,omitempty" validate:"dive"`
	Pools     map[string]Pool     `json:"pools,omitempty" validate:"dive"`
	Classes   map[string]Class    `json:"classes,omitempty" validate:"dive"`
	Customers map[string]Customer `json:"customers,omitempty" validate:"dive"`
	Routes    map[string]Route    `json:"routes,omitempty" validate:"dive"`
	Releases  map[string]Release  `json:"releases,omitempty" validate:"dive"`
}

// Budget is a declared budget: its customer and its deposits in tokens by id. A deposit counts once for ever.
type Budget struct {
	Customer string           `json:"customer" validate:"required"`
	Deposits map[string]int64 `json:"deposits"`
}

// Document is the accepted configuration. Versions only rise.
type Document struct {
	Version int64        `json:"version"`
	Applied []string     `json:"applied,omitempty"` // ids of the latest changes, newest last
	Fences  Fences       `json:"fences,omitempty"`
	Decl    Declarations `json:"declarations"`

	beyond error // names what a later build has written that this one does not know; nil: nothing
}

// Fences are the numbers of the latest order to each endpoint: the version that changed it last.
type Fences map[string]int64

// keepApplied is how many change ids a document remembers.
const keepApplied = 512

// HasApplied reports whether a change is in the document.
func (d *Document) HasApplied(change string) bool {
	for _, id := range d.Applied {
		if id == change {
			return true
		}
	}
	return false
}

// HashKey is how a customer's or an operator's secret is stored.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
