package intent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/ledgemount/ledgemount/internal/declare"
)

var opMarks = map[declare.Op]string{declare.OpAdd: "+", declare.OpChange: "~", declare.OpRemove: "-"}

// Text writes a plan in readable form: one line for each object, and the fields that differ for each changed object.
func (p *Plan) Text(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "plan %s on version %d\n", p.ID, p.BaseVersion)
	for _, c := range p.Changes {
		fmt.Fprintf(&b, "%s %s  %s\n", opMarks[c.Op], c.Path, c.Effect)
		if c.Op == declare.OpChange {
			writeFields(&b, c)
		}
	}
	for _, d := range p.Deposits {
		fmt.Fprintf(&b, "$ budgets/%s  deposit %q of %d tokens for %s\n", d.Budget, d.ID, d.Tokens, d.Customer)
	}
	for _, wk := range p.WaitsFor {
		fmt.Fprintf(&b, "waits for %d requests in progress at %s\n", wk.InFlight, wk.Endpoint)
	}
	for _, u := range p.Unseen {
		fmt.Fprintf(&b, "could not see %s: it takes the change when it can be reached\n", u)
	}
	if p.Empty() {
		b.WriteString("nothing to change\n")
	} else {
		fmt.Fprintf(&b, "nothing has changed yet; to make it so: ledgemount confirm %s\n", p.ID)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// writeFields writes the fields of an object that differ before and after a change.
func writeFields(w io.Writer, c declare.Change) {
	before, after := fieldsOf(c.Before), fieldsOf(c.After)
	names := make([]string, 0, len(before)+len(after))
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if !bytes.Equal(before[name], after[name]) {
			_, _ = fmt.Fprintf(w, "    %s: %s -> %s\n", name, orNone(before[name]), orNone(after[name]))
		}
	}
}

func fieldsOf(raw json.RawMessage) declare.Objects {
	var out declare.Objects
	_ = json.Unmarshal(raw, &out)
	return out
}

func orNone(raw json.RawMessage) string {
	if raw == nil {
		return "(none)"
	}
	return string(raw)
}

// Text writes a result in readable form.
func (r *Result) Text(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "plan %s: %s, version %d\n", r.Plan, r.State, r.Version)
	if r.State == StateUnknown || r.State == StateIncomplete {
		fmt.Fprintf(&b, "confirm it again: that changes nothing twice\n")
	}
	for _, z := range r.Zones {
		state := fmt.Sprintf("version %d", z.Version)
		if !z.Answered {
			state = "did not answer"
		}
		fmt.Fprintf(&b, "  %s/%s: %s\n", z.Zone, z.Instance, state)
	}
	_, err := w.Write(b.Bytes())
	return err
}
