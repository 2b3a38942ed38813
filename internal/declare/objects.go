package declare

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Objects holds the encoded objects of declarations by path, such as endpoints/e1.
type Objects map[string]json.RawMessage

// Op is the operation of a change.
type Op string

// The operations.
const (
	OpAdd    Op = "add"
	OpChange Op = "change"
	OpRemove Op = "remove"
)

// Change is the change of one object.
type Change struct {
	Path   string          `json:"path"`
	Op     Op              `json:"op"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
	Effect string          `json:"effect,omitempty"` // description for operators
}

// Split splits declarations into objects.
func Split(d Declarations) (Objects, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encoding declarations")
	}
	var sections map[string]Objects
	if err := json.Unmarshal(b, &sections); err != nil {
		return nil, eris.Wrap(err, "splitting declarations")
	}
	out := make(Objects)
	for section, objects := range sections {
		for name, raw := range objects {
			out[section+"/"+name] = raw
		}
	}
	return out, nil
}

// Join builds declarations from objects. It is the inverse of Split.
func Join(objects Objects) (Declarations, error) {
	sections := make(map[string]Objects)
	for path, raw := range objects {
		section, name, ok := strings.Cut(path, "/")
		if !ok || name == "" {
			return Declarations{}, eris.Errorf("%s: not a path of a declaration", path)
		}
		if sections[section] == nil {
			sections[section] = make(Objects)
		}
		sections[section][name] = raw
	}
	b, err := json.Marshal(sections)
	if err != nil {
		return Declarations{}, eris.Wrap(err, "joining declarations")
	}
	var d Declarations
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	return d, eris.Wrap(dec.Decode(&d), "decoding joined declarations")
}

// Diff returns the changes that turn before into after, sorted by path.
func Diff(before, after Declarations) ([]Change, error) {
	b, err := Split(before)
	if err != nil {
		return nil, err
	}
	a, err := Split(after)
	if err != nil {
		return nil, err
	}
	var out []Change
	for path, raw := range a {
		switch old, ok := b[path]; {
		case !ok:
			out = append(out, Change{Path: path, Op: OpAdd, After: raw})
		case !bytes.Equal(old, raw):
			out = append(out, Change{Path: path, Op: OpChange, Before: old, After: raw})
		}
	}
	for path, raw := range b {
		if _, ok := a[path]; !ok {
			out = append(out, Change{Path: path, Op: OpRemove, Before: raw})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out, nil
}

// ObjectChangedError reports that an object is no longer in the state that a change expects.
type ObjectChangedError struct{ Path string }

// Error implements error.
func (e *ObjectChangedError) Error() string { return e.Path + " has been changed by someone else" }

// Apply applies changes to declarations. If an object is not in the state that its change expects, it returns an
// ObjectChangedError.
func Apply(d Declarations, changes []Change) (Declarations, error) {
	objects, err := Split(d)
	if err != nil {
		return d, err
	}
	for _, c := range changes {
		old, ok := objects[c.Path]
		if ok != (c.Op != OpAdd) || (ok && !bytes.Equal(old, c.Before)) {
			return d, &ObjectChangedError{Path: c.Path}
		}
		if c.Op == OpRemove {
			delete(objects, c.Path)
		} else {
			objects[c.Path] = c.After
		}
	}
	return Join(objects)
}

// Next returns the document that follows d. Its version is one higher, and it contains the changes of the plan id.
func (d *Document) Next(id string, changes []Change) (*Document, error) {
	decl, err := Apply(d.Decl, changes)
	if err != nil {
		return nil, err
	}
	if err := Check(decl); err != nil {
		return nil, err
	}
	next := &Document{
		Version: d.Version + 1,
		Applied: append(append([]string(nil), d.Applied...), id),
		Fences:  make(Fences, len(d.Fences)),
		Decl:    decl,
	}
	if n := len(next.Applied); n > maxApplied {
		next.Applied = next.Applied[n-maxApplied:]
	}
	for e, f := range d.Fences {
		next.Fences[e] = f
	}
	for _, c := range changes {
		if name, ok := strings.CutPrefix(c.Path, "endpoints/"); ok {
			next.Fences[name] = next.Version
		}
	}
	return next, nil
}

// PathsWithPrefix returns the paths that begin with a prefix, sorted.
func PathsWithPrefix(objects Objects, prefix string) []string {
	var out []string
	for path := range objects {
		if strings.HasPrefix(path, prefix) {
			out = append(out, path)
		}
	}
	sort.Strings(out)
	return out
}
