package intent

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/ledgemount/ledgemount/internal/declare"
)

// Target returns the configuration that results from applying an intent to the current one. Faults of the intent are
// returned as declare.Faults.
func Target(now declare.Declarations, in *Intent) (declare.Declarations, error) {
	base := now
	if in.Replace != nil {
		base = *in.Replace
	}
	objects, err := declare.Split(base)
	if err != nil {
		return now, err
	}
	add, err := declare.Split(in.Apply)
	if err != nil {
		return now, err
	}
	for path, raw := range add {
		objects[path] = raw
	}
	var faults declare.Faults
	for i, path := range in.Remove {
		if _, ok := objects[path]; !ok {
			faults = append(faults, newFault(fmt.Sprintf("remove/%d", i), "there is no %q", path))
		}
		delete(objects, path)
	}
	faults = append(faults, setStates(objects, "drain", in.Drain, declare.StateDraining)...)
	faults = append(faults, setStates(objects, "activate", in.Activate, declare.StateActive)...)
	faults = append(faults, moveVersions(objects, in.Move)...)
	if err := faults.OrNil(); err != nil {
		return now, err
	}
	target, err := declare.Join(objects)
	if err != nil {
		return now, err
	}
	return target, declare.Check(target)
}

func newFault(path, format string, args ...any) declare.Fault {
	return declare.Fault{Path: path, Detail: fmt.Sprintf(format, args...)}
}

// setStates sets the state of the named endpoints. field is the intent's field that names them.
func setStates(objects declare.Objects, field string, names []string, state declare.EndpointState) declare.Faults {
	var faults declare.Faults
	for i, name := range names {
		ok := editEndpoint(objects, "endpoints/"+name, func(e *declare.Endpoint) { e.State = state })
		if !ok {
			faults = append(faults, newFault(fmt.Sprintf("%s/%d", field, i), "there is no endpoint %q", name))
		}
	}
	return faults
}

// moveVersions sets the model version of all endpoints of the pools that are to move.
func moveVersions(objects declare.Objects, moves []Move) declare.Faults {
	var faults declare.Faults
	for i, m := range moves {
		path := fmt.Sprintf("move/%d", i)
		if _, ok := objects["pools/"+m.Pool]; !ok {
			faults = append(faults, newFault(path+"/pool", "there is no pool %q", m.Pool))
		}
		if m.Version == "" {
			faults = append(faults, newFault(path+"/version", "is missing"))
		}
		for _, name := range declare.PathsWithPrefix(objects, "endpoints/") {
			editEndpoint(objects, name, func(e *declare.Endpoint) {
				if e.Pool == m.Pool {
					e.Version = m.Version
				}
			})
		}
	}
	return faults
}

// editEndpoint applies f to the endpoint at path. It returns false if there is no such endpoint.
func editEndpoint(objects declare.Objects, path string, f func(*declare.Endpoint)) bool {
	raw, ok := objects[path]
	if !ok {
		return false
	}
	var e declare.Endpoint
	if json.Unmarshal(raw, &e) != nil {
		return false
	}
	f(&e)
	b, err := json.Marshal(e)
	if err != nil {
		return false
	}
	objects[path] = b
	return true
}

// SetEffects sets the Effect of each change, a description for operators.
func SetEffects(changes []declare.Change) {
	for i := range changes {
		changes[i].Effect = effect(changes[i])
	}
}

func effect(c declare.Change) string {
	var before, after declare.Endpoint
	_ = json.Unmarshal(c.Before, &before)
	_ = json.Unmarshal(c.After, &after)
	switch {
	case c.Op == declare.OpRemove:
		return "is removed; requests that need it are refused as not run"
	case c.Op == declare.OpAdd:
		return "is added"
	case before.State == declare.StateActive && after.State == declare.StateDraining:
		return "takes no new work within seconds; work in progress ends normally"
	case before.State == declare.StateDraining && after.State == declare.StateActive:
		return "takes work again"
	case before.Version != after.Version:
		return fmt.Sprintf("is ordered to load version %q, staggered by the weight store's rate", after.Version)
	}
	return "is replaced"
}

// Deposits returns the deposits of an intent, sorted by budget and id. Faults of the intent are returned as declare.Faults.
func Deposits(in *Intent, d declare.Declarations) ([]Deposit, error) {
	var out []Deposit
	var faults declare.Faults
	for name, b := range in.Budgets {
		if _, ok := d.Customers[b.Customer]; !ok {
			faults = append(faults, newFault("budgets/"+name+"/customer", "there is no customer %q", b.Customer))
		}
		for id, n := range b.Deposits {
			if !declare.ValidTokens(max(n, -n)) {
				faults = append(faults, newFault("budgets/"+name+"/deposits/"+id, "must be a number of tokens other than 0, below 2^53"))
			}
			out = append(out, Deposit{Budget: name, Customer: b.Customer, ID: id, Tokens: n})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Budget != out[j].Budget {
			return out[i].Budget < out[j].Budget
		}
		return out[i].ID < out[j].ID
	})
	return out, faults.OrNil()
}
