package relay

import (
	"context"
	"strconv"

	"golang.org/x/sync/singleflight"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/quarantine"
)

// endings finds out whether an endpoint's process has ended, once for all requests that broke off there at the same moment.
type endings struct{ looks singleflight.Group }

// look asks once for all that ask at the same moment.
func (e *endings) look(what, addr string, f func(context.Context, string) bool) bool {
	ended, _, _ := e.looks.Do(what+addr, func() (any, error) { return f(context.Background(), addr), nil })
	return ended.(bool) //nolint:forcetypeassert // the function above returns nothing else
}

// ended looks whether the endpoint of an attempt that broke off has ended with it. An endpoint whose planned end is known proves nothing.
// What a first look does not show is looked for again beside the request, and told by late.
func (j *job) ended(lease *pool.Lease, late func()) bool {
	if lease.Leaving() {
		return false
	}
	addr := lease.Endpoint().Addr
	if j.core.endings.look("now ", addr, j.core.Client.Refused) {
		return true
	}
	go func() {
		if j.core.endings.look("soon ", addr, j.core.Client.RefusedSoon) {
			late()
		}
	}()
	return false
}

// sawEnd notes whether the endpoint of an attempt that broke off has ended with it.
func (j *job) sawEnd(lease *pool.Lease) bool {
	print := j.print()
	j.outcome.Digest = print.String()
	endpoint := lease.Endpoint().ID
	return j.ended(lease, func() { j.core.late(LateEnd{Digest: print.String(), Endpoint: endpoint}) })
}

// LateEnd tells that an endpoint was seen to have ended only after the request that broke off there had been told of.
type LateEnd struct {
	Digest   string // of the request
	Endpoint string
}

// print names the request by what it asks, whatever its ID.
func (j *job) print() quarantine.Print {
	if j.known == nil {
		customer := ""
		if j.customer != nil {
			customer = j.customer.Name
		}
		p := quarantine.Of(customer, j.req.Method, j.req.Host, j.req.Target, j.req.Body)
		j.known = &p
	}
	return *j.known
}

// run names one run of an endpoint's process.
func run(e pool.Endpoint) string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}
