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

// StoreCalls counts the calls to the store that logs record, by purpose and by the role of the instance.
type StoreCalls struct {
	calls     map[string]map[router.Role]int
	instances map[router.Role]map[string]bool
}

// NewStoreCalls returns a StoreCalls without counts.
func NewStoreCalls() *StoreCalls {
	return &StoreCalls{calls: make(map[string]map[router.Role]int), instances: make(map[router.Role]map[string]bool)}
}

// Read adds the calls of one log.
func (s *StoreCalls) Read(log io.Reader) error {
	return router.EachStoreCalls(log, s.add)
}

func (s *StoreCalls) add(l router.StoreCallsLine) {
	if s.instances[l.Role] == nil {
		s.instances[l.Role] = make(map[string]bool)
	}
	s.instances[l.Role][l.Instance] = true
	for name, n := range l.Calls {
		if s.calls[name] == nil {
			s.calls[name] = make(map[router.Role]int)
		}
		s.calls[name][l.Role] += n
	}
}

var roles = []router.Role{router.RoleWriter, router.RoleLeader, router.RoleMember}

// total returns the number of calls for one purpose.
func (s *StoreCalls) total(name string) int {
	n := 0
	for _, x := range s.calls[name] {
		n += x
	}
	return n
}

// Write writes a table with a row for each purpose, most frequent first, and a column for each role.
func (s *StoreCalls) Write(w io.Writer) error {
	names := make([]string, 0, len(s.calls))
	for name := range s.calls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(s.total(b), s.total(a)), cmp.Compare(a, b)) })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	s.row(tw, "calls to the store", func(r router.Role) any { return r }, "all")
	for _, name := range names {
		s.row(tw, name, func(r router.Role) any { return s.calls[name][r] }, s.total(name))
	}
	s.row(tw, "instances in that role at some time", func(r router.Role) any { return len(s.instances[r]) }, "")
	return eris.Wrap(tw.Flush(), "writing the table of calls")
}

// row writes one line of the table. It ignores write errors because Flush returns those of a tabwriter.
func (*StoreCalls) row(w io.Writer, name string, value func(router.Role) any, all any) {
	_, _ = fmt.Fprintf(w, "%s\t", name)
	for _, r := range roles {
		_, _ = fmt.Fprintf(w, "%v\t", value(r))
	}
	_, _ = fmt.Fprintf(w, "%v\t\n", all)
}
