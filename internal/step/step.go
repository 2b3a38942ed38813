// Package step names the points at which tests inject faults: the steps of a request, of token escrow and of a
// configuration change.
package step

import "context"

// Step names a point at which a fault can be injected.
type Step string

// Steps of a request, of escrow and of a configuration change, in their usual order.
const (
	Accept       Step = "accept"
	Authenticate Step = "authenticate"
	Reserve      Step = "reserve"
	Admit        Step = "admit"
	Claim        Step = "claim"
	Dispatch     Step = "dispatch"
	FirstToken   Step = "first-token"
	MidStream    Step = "mid-stream"
	LastToken    Step = "last-token"
	Settle       Step = "settle"
	Flush        Step = "flush"
	Draw         Step = "draw" // a holder raises its grant on a budget
	Return       Step = "return"
	Reclaim      Step = "reclaim"
	Plan         Step = "plan"
	Confirm      Step = "confirm"
	Drain        Step = "drain"
)

// Hook is called when an instance reaches a step. It may block, which simulates a pause, or return an error, which
// simulates a crash.
type Hook func(ctx context.Context, s Step) error

// None is a Hook that injects no faults, as in production.
func None(context.Context, Step) error { return nil }
