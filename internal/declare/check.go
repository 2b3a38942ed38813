package declare

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Fault is one error in an input, at a path such as endpoints/e1/pool.
type Fault struct {
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// Faults is an error that lists all faults of an input.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Detail
	}
	return strings.Join(lines, "; ")
}

// OrNil returns the faults sorted by path, or nil if there are none.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	sort.Slice(f, func(i, j int) bool { return f[i].Path < f[j].Path })
	return f
}

// Validator checks values against their validate tags. Faults have JSON paths.
type Validator struct{ v *validator.Validate }

// NewValidator returns a Validator.
func NewValidator() *Validator {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return &Validator{v: v}
}

// Check returns the faults of a value.
func (v *Validator) Check(value any) Faults {
	err := v.v.Struct(value)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return nil
	}
	var out Faults
	for _, fe := range list {
		_, path, _ := strings.Cut(fe.Namespace(), ".")
		out = append(out, Fault{Path: pathOf(path), Detail: detailOf(fe)})
	}
	return out
}

// pathOf converts a path such as endpoints[e1].pool to endpoints/e1/pool.
func pathOf(ns string) string {
	return strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(ns)
}

// detailOf returns the text of a fault for a failed validate tag.
func detailOf(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required", "required_if":
		return "is missing"
	case "oneof":
		return "must be one of: " + strings.ReplaceAll(fe.Param(), " ", ", ")
	case "min", "gte":
		return "must be at least " + fe.Param()
	case "max", "lte":
		return "must be at most " + fe.Param()
	case "gt":
		return "must be more than " + fe.Param()
	case "lt":
		return "must be less than " + fe.Param()
	case "http_url", "url":
		return "must be a URL"
	}
	return strings.TrimSpace(fmt.Sprintf("does not satisfy %s %s", fe.Tag(), fe.Param()))
}

var validate = NewValidator()

// Check returns all faults of declarations as Faults, or nil.
func Check(d Declarations) error {
	faults := validate.Check(d)
	faults = append(faults, checkNames(d)...)
	return faults.OrNil()
}

// checkNames finds references to names that are not declared.
func checkNames(d Declarations) Faults {
	var out Faults
	missing := func(path, what, name string) {
		out = append(out, Fault{Path: path, Detail: fmt.Sprintf("there is no %s %q", what, name)})
	}
	for name, e := range d.Endpoints {
		if _, ok := d.Pools[e.Pool]; !ok && e.Pool != "" {
			missing("endpoints/"+name+"/pool", "pool", e.Pool)
		}
		if _, ok := d.Zones[e.Zone]; !ok && e.Zone != "" {
			missing("endpoints/"+name+"/zone", "zone", e.Zone)
		}
	}
	for name, c := range d.Customers {
		for key, ref := range c.Keys {
			if _, ok := d.Classes[ref.Class]; !ok && ref.Class != "" {
				missing("customers/"+name+"/keys/"+key+"/class", "class", ref.Class)
			}
		}
	}
	for name, r := range d.Routes {
		p, ok := d.Pools[r.Pool]
		if !ok && r.Pool != "" {
			missing("routes/"+name+"/pool", "pool", r.Pool)
		}
		if ok && p.Kind != KindPlain {
			out = append(out, Fault{Path: "routes/" + name + "/pool", Detail: "must be a pool of plain services"})
		}
	}
	return append(out, checkUnique(d)...)
}

// checkUnique finds keys and models that more than one declaration uses.
func checkUnique(d Declarations) Faults {
	var out Faults
	keys := make(map[string]string)
	for _, name := range sorted(d.Customers) {
		c := d.Customers[name]
		for _, key := range sorted(c.Keys) {
			path := "customers/" + name + "/keys/" + key + "/hash"
			hash := c.Keys[key].Hash
			if other, ok := keys[hash]; ok {
				out = append(out, Fault{Path: path, Detail: "is the same as " + other})
			}
			keys[hash] = path
		}
	}
	models := make(map[string]string)
	for _, name := range sorted(d.Pools) {
		p := d.Pools[name]
		if p.Kind != KindEngine {
			continue
		}
		if other, ok := models[p.Model]; ok {
			out = append(out, Fault{Path: "pools/" + name + "/model", Detail: "is served by pool " + other + " already"})
		}
		models[p.Model] = name
	}
	return out
}

func sorted[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
