// Package compat reads and writes values that builds of other ages read and write too.
//
// A value in the store may be read, changed and written back by an older build than the one that wrote it. A field that the older build does not know
// would be lost with that: in a budget's row it may be tokens. So what a build does not know goes back as it came, as long as the value
// that it stands in is still there.
package compat

import (
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Generation counts the formats of messages, rows and pages: it rises with each build in which one of them is new or has changed. A build reads all
// up to its own.
const Generation = 5

// UnknownFields is a value as it was read, if it has fields that its type does not know. Its zero value is one without such fields.
type UnknownFields struct{ raw cbor.RawMessage }

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Decode reads a value. Fields that its type does not know are kept for Encode.
func Decode(b []byte, v any) (UnknownFields, error) {
	var unknown *cbor.UnknownFieldError
	err := strict.Unmarshal(b, v)
	switch {
	case err == nil:
		return UnknownFields{}, nil
	case !errors.As(err, &unknown):
		return UnknownFields{}, err
	}
	reflect.ValueOf(v).Elem().SetZero()
	if err := cbor.Unmarshal(b, v); err != nil {
		return UnknownFields{}, err
	}
	return UnknownFields{raw: append(cbor.RawMessage(nil), b...)}, nil
}

// Encode writes a value, with the fields that were not known when it was read.
func Encode(v any, u UnknownFields) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil || u.raw == nil {
		return b, err
	}
	return merge(reflect.TypeOf(v), u.raw, b)
}

// merge adds to an encoded value of a type what its earlier encoding has beyond the type's fields.
func merge(t reflect.Type, old, now cbor.RawMessage) (cbor.RawMessage, error) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		return mergeStruct(t, old, now)
	case reflect.Map:
		return mergeMap(t, old, now)
	default:
		return now, nil
	}
}

// mergeStruct adds fields of a struct that its type does not know. Only structs that are maps by number can have such.
func mergeStruct(t reflect.Type, old, now cbor.RawMessage) (cbor.RawMessage, error) {
	known, ok := fields(t)
	if !ok {
		return now, nil
	}
	var was, is map[uint64]cbor.RawMessage
	if err := unmarshalBoth(old, now, &was, &is); err != nil {
		return nil, err
	}
	for key, value := range was {
		field, ok := known[key]
		if !ok {
			is[key] = value
			continue
		}
		if _, there := is[key]; !there {
			continue
		}
		var err error
		if is[key], err = merge(field, value, is[key]); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(is)
}

// mergeMap does the same for what stands under keys that are still there.
func mergeMap(t reflect.Type, old, now cbor.RawMessage) (cbor.RawMessage, error) {
	if t.Key().Kind() != reflect.String {
		return now, nil
	}
	var was, is map[string]cbor.RawMessage
	if err := unmarshalBoth(old, now, &was, &is); err != nil {
		return nil, err
	}
	for key, value := range is {
		before, there := was[key]
		if !there {
			continue
		}
		var err error
		if is[key], err = merge(t.Elem(), before, value); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(is)
}

func unmarshalBoth[K comparable](old, now cbor.RawMessage, was, is *map[K]cbor.RawMessage) error {
	if err := cbor.Unmarshal(old, was); err != nil {
		return eris.Wrap(err, "reading the earlier value")
	}
	return eris.Wrap(cbor.Unmarshal(now, is), "reading the new value")
}

// fields are the types of a struct's fields by their numbers; false if they have none.
func fields(t reflect.Type) (map[uint64]reflect.Type, bool) {
	out := make(map[uint64]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, rest, _ := strings.Cut(f.Tag.Get("cbor"), ",")
		if !strings.Contains(rest, "keyasint") {
			continue
		}
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, false
		}
		out[n] = f.Type
	}
	return out, len(out) > 0
}
