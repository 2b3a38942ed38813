// Package declare defines the declarations of operators: their types, checks and differences, and the versioned document
// that holds them.
package declare

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Key is the key of the document in the store.
const Key = "config"

// EndpointKind is the kind of a pool's endpoints.
type EndpointKind string

// The kinds of endpoints.
const (
	KindEngine EndpointKind = "engine" // model engine
	KindPlain  EndpointKind = "plain"  // plain service
)

// EndpointState is the declared state of an endpoint.
type EndpointState string

// The states of an endpoint.
const (
	StateActive   EndpointState = "active"
	StateDraining EndpointState = "draining" // gets no new work; work in progress ends normally
)

// Zone is an availability zone. The declared zones determine where the idempotency key of a request is looked up.
type Zone struct {
	Region string `json:"region" validate:"required"`
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	Zone        string        `json:"zone" validate:"required"`
	URL         string        `json:"url" validate:"required,http_url"`
	Pool        string        `json:"pool" validate:"required"`
	Version     string        `json:"version,omitempty"` // model version to load
	Role        string        `json:"role,omitempty"`
	State       EndpointState `json:"state" validate:"oneof=active draining"`
	Capacity    int           `json:"capacity" validate:"min=1,max=100000"` // concurrent requests from all instances of the zone
	ChecksFence bool          `json:"checks"`                               // the endpoint checks the fencing tokens of orders
}

// Pool is a set of endpoints that can serve the same requests.
type Pool struct {
	Kind  EndpointKind `json:"kind" validate:"oneof=engine plain"`
	Model string       `json:"model,omitempty" validate:"required_if=Kind engine"`
	Spill bool         `json:"spill"` // allows endpoints of other zones if the own zone has none free
}

// Class is a priority class with its service level objectives.
type Class struct {
	Priority        int     `json:"priority" validate:"min=0,max=100"` // smaller is more urgent
	DeadlineMS      int64   `json:"deadline_ms" validate:"min=1,max=3600000"`
	FirstTokenMS    int64   `json:"first_token_ms" validate:"min=1"`
	BetweenTokensMS int64   `json:"between_tokens_ms" validate:"min=1"`
	Objective       float64 `json:"objective" validate:"gt=0,lt=1"` // share of requests that must meet the service levels
}

// Deadline returns the deadline of requests for which the caller gives none.
func (c Class) Deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

// KeyRef is one key of a customer: the hash of the secret and the class of the requests that use it.
type KeyRef struct {
	Hash  string `json:"hash" validate:"len=64,hexadecimal"`
	Class string `json:"class" validate:"required"`
}

// Customer is a party that pays for requests.
type Customer struct {
	Budget string            `json:"budget" validate:"required"` // used for requests that name none
	Region string            `json:"region,omitempty"`
	Keys   map[string]KeyRef `json:"keys" validate:"dive"` // by names that operators choose
}

// Route makes a pool of plain services available under a path.
type Route struct {
	Path       string `json:"path" validate:"required,startswith=/"`
	Pool       string `json:"pool" validate:"required"`
	Tokens     int64  `json:"tokens" validate:"min=1,max=1000000000"` // price of one call
	Repeatable bool   `json:"repeatable"`
}

// Release is an operator's confirmation that a client of a terminated holder can no longer spend tokens.
type Release struct {
	Holder string `json:"holder" validate:"required"`
	Client string `json:"client" validate:"required"`
}

// Declarations holds everything that operators declare, except budgets.
type Declarations struct {
	Zones     map[string]Zone     `json:"zones,omitempty" validate:"dive"`
	Endpoints map[string]Endpoint `json:"endpoints,omitempty" validate:"dive"`
	Pools     map[string]Pool     `json:"pools,omitempty" validate:"dive"`
	Classes   map[string]Class    `json:"classes,omitempty" validate:"dive"`
	Customers map[string]Customer `json:"customers,omitempty" validate:"dive"`
	Routes    map[string]Route    `json:"routes,omitempty" validate:"dive"`
	Releases  map[string]Release  `json:"releases,omitempty" validate:"dive"`
}

// Budget is a declared budget: its customer and its deposits in tokens by id. A deposit with a given id counts only once.
type Budget struct {
	Customer string           `json:"customer" validate:"required"`
	Deposits map[string]int64 `json:"deposits"`
}

// Document is the accepted configuration. Its version only increases.
type Document struct {
	Version int64        `json:"version"`
	Applied []string     `json:"applied,omitempty"` // ids of the latest applied plans, newest last
	Fences  Fences       `json:"fences,omitempty"`
	Decl    Declarations `json:"declarations"`

	unknown error // lists fields that a later build wrote and this build does not support; nil if there are none
}

// Fences holds the fencing token of the latest order to each endpoint: the document version that last changed the endpoint.
type Fences map[string]int64

// maxApplied is the number of plan ids that a document retains.
const maxApplied = 512

// HasApplied reports whether the document contains the changes of a plan. It finds only the latest maxApplied plans.
func (d *Document) HasApplied(plan string) bool {
	for _, id := range d.Applied {
		if id == plan {
			return true
		}
	}
	return false
}

// HashKey returns the hash under which a customer's or an operator's secret is stored.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
