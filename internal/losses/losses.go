// Package losses tells from routers' logs where requests were lost or late: by cause, route, customer, availability zone, second and
// endpoint.
package losses

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/router"
)

// Cause is how a request ended: in time, late, or with a code.
type Cause string

// The causes that are no codes.
const (
	CauseServed    Cause = "served"
	CauseLateFirst Cause = "late first event"
	CauseLatePause Cause = "long pause"
)

// CauseOf judges a request that has ended.
func CauseOf(l router.Line) Cause {
	switch {
	case l.Code != "":
		return Cause(l.Code)
	case l.Status >= 500:
		return "endpoint failed"
	case l.Late == string(relay.LateFirst):
		return CauseLateFirst
	case l.Late == string(relay.LatePause):
		return CauseLatePause
	}
	return CauseServed
}

// Count is how many requests ended in each way.
type Count map[Cause]int

// Total is the number of requests.
func (c Count) Total() int {
	n := 0
	for _, x := range c {
		n += x
	}
	return n
}

// Share is the part of requests that ended in a way.
func (c Count) Share(cause Cause) float64 {
	if n := c.Total(); n > 0 {
		return float64(c[cause]) / float64(n)
	}
	return 0
}

// Row is one route, customer, zone, second or endpoint.
type Row struct {
	Name  string `json:"name"`
	Count Count  `json:"count"`
}

// Table counts the requests of a log along one dimension.
type Table struct {
	Name string `json:"name"`
	Rows []Row  `json:"rows"`
}

// Report is what a log tells.
type Report struct {
	All    Count   `json:"all"`
	Tables []Table `json:"tables"`
}

// dimension names a table and what of a line it counts by; an empty text leaves the line out.
type dimension struct {
	name   string
	of     func(router.Line) string
	inTurn bool // rows stand in the order of their names, not of their losses
}

const sizeStep = 4000 // tokens of the prompt in a row of the table by size

var dimensions = []dimension{
	{name: "route", of: func(l router.Line) string { return l.Route }},
	{name: "zone", of: func(l router.Line) string { return l.Zone }},
	{name: "prompt tokens", of: size, inTurn: true},
	{name: "second", of: second, inTurn: true},
	{name: "customer", of: func(l router.Line) string { return l.Customer }},
	{name: "endpoint", of: endpoint},
}

// size is the range of the prompt's length.
func size(l router.Line) string {
	if l.Prompt == 0 {
		return ""
	}
	const k = 1000
	from := l.Prompt / sizeStep * sizeStep / k
	return itoa(from) + "k to " + itoa(from+sizeStep/k) + "k"
}

// second is when the request arrived.
func second(l router.Line) string {
	ended, err := time.Parse(time.RFC3339, l.Time)
	if err != nil {
		return ""
	}
	return ended.Add(-time.Duration(l.TotalMs) * time.Millisecond).UTC().Format(time.TimeOnly)
}

// endpoint is the last one that had the request.
func endpoint(l router.Line) string {
	if len(l.Endpoints) == 0 {
		return ""
	}
	return l.Endpoints[len(l.Endpoints)-1].Endpoint
}

// Reader counts the lines of logs.
type Reader struct {
	all    Count
	counts []map[string]Count // by dimension, then name
}

// NewReader makes a reader that has seen nothing.
func NewReader() *Reader {
	r := &Reader{all: make(Count)}
	for range dimensions {
		r.counts = append(r.counts, make(map[string]Count))
	}
	return r
}

// Read counts the requests of one log.
func (r *Reader) Read(log io.Reader) error { return router.EachRequestEnd(log, "", r.add) }

func (r *Reader) add(l router.Line) {
	cause := CauseOf(l)
	r.all[cause]++
	for i, d := range dimensions {
		name := d.of(l)
		if name == "" {
			continue
		}
		if r.counts[i][name] == nil {
			r.counts[i][name] = make(Count)
		}
		r.counts[i][name][cause]++
	}
}

// Report is what was read so far. Rows stand in the order of what they lost, or of their names where these are in turn.
func (r *Reader) Report() Report {
	out := Report{All: r.all}
	for i, d := range dimensions {
		t := Table{Name: d.name}
		for name, c := range r.counts[i] {
			t.Rows = append(t.Rows, Row{Name: name, Count: c})
		}
		slices.SortFunc(t.Rows, func(a, b Row) int {
			if d.inTurn {
				return cmp.Or(cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
			}
			return cmp.Or(cmp.Compare(lost(b.Count), lost(a.Count)), cmp.Compare(a.Name, b.Name))
		})
		out.Tables = append(out.Tables, t)
	}
	return out
}

// lost is the number of requests that were not served in time.
func lost(c Count) int { return c.Total() - c[CauseServed] }
