// Package losses reports from routers' logs where requests failed or were late: by cause, route, availability zone,
// prompt length, second, customer and endpoint.
package losses

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/router"
)

// Cause is the outcome of a request: served in time, served late, or an error code.
type Cause string

// Causes that are not error codes.
const (
	CauseServed    Cause = "served"
	CauseLateFirst Cause = "late first event"
	CauseLatePause Cause = "long pause"
)

// CauseOf returns the cause of a request that has ended.
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

// Count holds the number of requests by cause.
type Count map[Cause]int

// Total returns the number of requests.
func (c Count) Total() int {
	n := 0
	for _, x := range c {
		n += x
	}
	return n
}

// Share returns the fraction of the requests with a cause.
func (c Count) Share(cause Cause) float64 {
	if n := c.Total(); n > 0 {
		return float64(c[cause]) / float64(n)
	}
	return 0
}

// Row is the count of one value of a dimension, such as one route or one endpoint.
type Row struct {
	Name  string `json:"name"`
	Count Count  `json:"count"`
}

// Table counts the requests of a log along one dimension.
type Table struct {
	Name string `json:"name"`
	Rows []Row  `json:"rows"`
}

// Report holds the counts of all requests, in total and by dimension.
type Report struct {
	All    Count   `json:"all"`
	Tables []Table `json:"tables"`
}

// dimension is a property of requests that a table counts by. The table leaves out requests for which value returns "".
type dimension struct {
	name       string
	value      func(router.Line) string
	sortByName bool // rows are sorted by name, not by losses
}

const sizeStep = 4000 // prompt tokens per row of the table by prompt length

var dimensions = []dimension{
	{name: "route", value: func(l router.Line) string { return l.Route }},
	{name: "zone", value: func(l router.Line) string { return l.Zone }},
	{name: "prompt tokens", value: promptRange, sortByName: true},
	{name: "second", value: arrivalSecond, sortByName: true},
	{name: "customer", value: func(l router.Line) string { return l.Customer }},
	{name: "endpoint", value: lastEndpoint},
}

// promptRange returns the range that the prompt's length is in.
func promptRange(l router.Line) string {
	if l.Prompt == 0 {
		return ""
	}
	const k = 1000
	from := l.Prompt / sizeStep * sizeStep / k
	return itoa(from) + "k to " + itoa(from+sizeStep/k) + "k"
}

// arrivalSecond returns the second in which the request arrived.
func arrivalSecond(l router.Line) string {
	ended, err := time.Parse(time.RFC3339, l.Time)
	if err != nil {
		return ""
	}
	return ended.Add(-time.Duration(l.TotalMs) * time.Millisecond).UTC().Format(time.TimeOnly)
}

// lastEndpoint returns the endpoint of the last attempt.
func lastEndpoint(l router.Line) string {
	if len(l.Endpoints) == 0 {
		return ""
	}
	return l.Endpoints[len(l.Endpoints)-1].Endpoint
}

// Reader counts the requests of logs.
type Reader struct {
	all    Count
	counts []map[string]Count // by dimension, then name
}

// NewReader returns a Reader without counts.
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
		name := d.value(l)
		if name == "" {
			continue
		}
		if r.counts[i][name] == nil {
			r.counts[i][name] = make(Count)
		}
		r.counts[i][name][cause]++
	}
}

// Report returns the counts so far. Rows are sorted by losses, most first, or by name for dimensions with sortByName.
func (r *Reader) Report() Report {
	out := Report{All: r.all}
	for i, d := range dimensions {
		t := Table{Name: d.name}
		for name, c := range r.counts[i] {
			t.Rows = append(t.Rows, Row{Name: name, Count: c})
		}
		slices.SortFunc(t.Rows, func(a, b Row) int {
			if d.sortByName {
				return cmp.Or(cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
			}
			return cmp.Or(cmp.Compare(lateOrFailed(b.Count), lateOrFailed(a.Count)), cmp.Compare(a.Name, b.Name))
		})
		out.Tables = append(out.Tables, t)
	}
	return out
}

// lateOrFailed returns the number of requests that were not served in time.
func lateOrFailed(c Count) int { return c.Total() - c[CauseServed] }
