package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/router"
)

// StoreCalls counts the calls to the store that logs tell of, by what they were for and by the role of the instance.
type StoreCalls struct {
	calls     map[string]map[router.Role]int
	instances map[router.Role]map[string]bool
}

// NewStoreCalls makes counts of nothing.
func NewStoreCalls() *StoreCalls {
	return &StoreCalls{calls: make(map[string]map[router.Role]int), instances: make(map[router.Role]map[string]bool)}
}

// Read counts the calls of one log.
func (d *StoreCalls) Read(log io.Reader) error {
	return router.EachStoreCalls(log, d.add)
}

func (d *StoreCalls) add(l router.StoreCallsLine) {
	if d.instances[l.Role] == nil {
		d.instances[l.Role] = make(map[string]bool)
	}
	d.instances[l.Role][l.Instance] = true
	for name, n := range l.Calls {
		if d.calls[name] == nil {
			d.calls[name] = make(map[router.Role]int)
		}
		d.calls[name][l.Role] += n
	}
}

var roles = []router.Role{router.RoleWriter, router.RoleLeader, router.RoleMember}

// total is the number of calls of one kind.
func (d *StoreCalls) total(name string) int {
	n := 0
	for _, x := range d.calls[name] {
		n += x
	}
	return n
}

// Write writes one table: a row for each kind of call, most frequent first, a column for each role.
func (d *StoreCalls) Write(w io.Writer) error {
	names := make([]string, 0, len(d.calls))
	for name := range d.calls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(d.total(b), d.total(a)), cmp.Compare(a, b)) })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	d.row(tw, "calls to the store", func(r router.Role) any { return r }, "all")
	for _, name := range names {
		d.row(tw, name, func(r router.Role) any { return d.calls[name][r] }, d.total(name))
	}
	d.row(tw, "instances in that role at some time", func(r router.Role) any { return len(d.instances[r]) }, "")
	return eris.Wrap(tw.Flush(), "writing the table of calls")
}

// row writes one line of the table. A tabwriter keeps its errors for Flush.
func (*StoreCalls) row(w io.Writer, name string, of func(router.Role) any, all any) {
	_, _ = fmt.Fprintf(w, "%s\t", name)
	for _, r := range roles {
		_, _ = fmt.Fprintf(w, "%v\t", of(r))
	}
	_, _ = fmt.Fprintf(w, "%v\t\n", all)
}
