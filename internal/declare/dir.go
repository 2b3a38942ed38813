package declare

import (
	"io/fs"
	"path"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Directory holds the declarations and the budgets of a directory of files. It encodes as an intent that replaces the
// configuration.
type Directory struct {
	Decl    Declarations      `json:"replace"`
	Budgets map[string]Budget `json:"budgets"`
}

// file is one file of a directory. Each section is optional.
type file struct {
	Zones     map[string]Zone     `json:"zones"`
	Endpoints map[string]Endpoint `json:"endpoints"`
	Pools     map[string]Pool     `json:"pools"`
	Classes   map[string]Class    `json:"classes"`
	Customers map[string]Customer `json:"customers"`
	Routes    map[string]Route    `json:"routes"`
	Releases  map[string]Release  `json:"releases"`
	Budgets   map[string]Budget   `json:"budgets"`
}

func (f *file) declarations() Declarations {
	return Declarations{
		Zones: f.Zones, Endpoints: f.Endpoints, Pools: f.Pools, Classes: f.Classes,
		Customers: f.Customers, Routes: f.Routes, Releases: f.Releases,
	}
}

// ReadDir reads every .json file below a directory, except hidden ones. Declarations may be divided among files in any way,
// but a name that two files declare is a fault. The paths of faults begin with the file.
func ReadDir(dir fs.FS) (*Directory, error) {
	var names []string
	err := fs.WalkDir(dir, ".", func(name string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && path.Ext(name) == ".json" && !strings.HasPrefix(path.Base(name), ".") {
			names = append(names, name)
		}
		return err
	})
	if err != nil {
		return nil, eris.Wrap(err, "reading the declarations")
	}
	sort.Strings(names)
	all := make(Objects)
	out := &Directory{Budgets: make(map[string]Budget)}
	var faults Faults
	for _, name := range names {
		faults = append(faults, addFile(dir, name, all, out.Budgets)...)
	}
	if err := faults.OrNil(); err != nil {
		return nil, err
	}
	if out.Decl, err = Join(all); err != nil {
		return nil, err
	}
	return out, Check(out.Decl)
}

// addFile adds one file's declarations to all and its budgets to budgets, and returns its faults.
func addFile(dir fs.FS, name string, all Objects, budgets map[string]Budget) Faults {
	data, err := fs.ReadFile(dir, name)
	if err != nil {
		return Faults{{Path: name, Detail: err.Error()}}
	}
	var f file
	if err := DecodeStrict(data, &f); err != nil {
		return prefixFaults(name, err)
	}
	objects, err := Split(f.declarations())
	if err != nil {
		return Faults{{Path: name, Detail: err.Error()}}
	}
	var faults Faults
	for p, raw := range objects {
		if _, ok := all[p]; ok {
			faults = append(faults, Fault{Path: name + ":" + p, Detail: "is declared in another file too"})
		}
		all[p] = raw
	}
	for b, v := range f.Budgets {
		if _, ok := budgets[b]; ok {
			faults = append(faults, Fault{Path: name + ":budgets/" + b, Detail: "is declared in another file too"})
		}
		budgets[b] = v
	}
	return faults
}

// prefixFaults returns the faults of err with the file's name before their paths.
func prefixFaults(name string, err error) Faults {
	var out Faults
	faults, ok := err.(Faults) //nolint:errorlint // DecodeStrict returns it unwrapped
	if !ok {
		return Faults{{Path: name, Detail: err.Error()}}
	}
	for _, f := range faults {
		out = append(out, Fault{Path: name + ":" + f.Path, Detail: f.Detail})
	}
	return out
}
