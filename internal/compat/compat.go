// Package compat encodes and decodes stored values that older and newer builds read and write too.
//
// A value in the store may be read, changed and written back by an older build than the one that wrote it. Fields that the
// older build does not know would be lost then; in a budget's row, that may be tokens. Therefore a build writes back
// unknown fields unchanged, as long as the value that contains them still exists.
package compat

import (
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Generation is the version of the formats of messages, rows and pages. It increases with each build in which a format is
// added or changed. A build reads all generations up to its own.
const Generation = 10

// UnknownFields is the encoding of a value that had fields unknown to its type. The zero value means that it had none.
type UnknownFields struct{ raw cbor.RawMessage }

var strictMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Decode decodes a value into v. It returns the fields that the type does not know, to be passed to Encode.
func Decode(b []byte, v any) (UnknownFields, error) {
	var unknown *cbor.UnknownFieldError
	err := strictMode.Unmarshal(b, v)
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

// Encode encodes a value together with the unknown fields that Decode returned.
func Encode(v any, u UnknownFields) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil || u.raw == nil {
		return b, err
	}
	return merge(reflect.TypeOf(v), u.raw, b)
}

// merge adds to the updated encoding of a value the fields of its old encoding that its type t does not know.
func merge(t reflect.Type, old, updated cbor.RawMessage) (cbor.RawMessage, error) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		return mergeStruct(t, old, updated)
	case reflect.Map:
		return mergeMap(t, old, updated)
	default:
		return updated, nil
	}
}

// mergeStruct merges the encodings of a struct. Only structs that are encoded as maps with integer keys can have unknown
// fields.
func mergeStruct(t reflect.Type, old, updated cbor.RawMessage) (cbor.RawMessage, error) {
	known, ok := fieldTypes(t)
	if !ok {
		return updated, nil
	}
	var oldFields, newFields map[uint64]cbor.RawMessage
	if err := unmarshalBoth(old, updated, &oldFields, &newFields); err != nil {
		return nil, err
	}
	for key, value := range oldFields {
		field, ok := known[key]
		if !ok {
			newFields[key] = value
			continue
		}
		if _, exists := newFields[key]; !exists {
			continue
		}
		var err error
		if newFields[key], err = merge(field, value, newFields[key]); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(newFields)
}

// mergeMap merges the encodings of a map. It merges the values of keys that exist in both.
func mergeMap(t reflect.Type, old, updated cbor.RawMessage) (cbor.RawMessage, error) {
	if t.Key().Kind() != reflect.String {
		return updated, nil
	}
	var oldEntries, newEntries map[string]cbor.RawMessage
	if err := unmarshalBoth(old, updated, &oldEntries, &newEntries); err != nil {
		return nil, err
	}
	for key, value := range newEntries {
		oldValue, exists := oldEntries[key]
		if !exists {
			continue
		}
		var err error
		if newEntries[key], err = merge(t.Elem(), oldValue, value); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(newEntries)
}

func unmarshalBoth[K comparable](old, updated cbor.RawMessage, oldMap, newMap *map[K]cbor.RawMessage) error {
	if err := cbor.Unmarshal(old, oldMap); err != nil {
		return eris.Wrap(err, "reading the earlier value")
	}
	return eris.Wrap(cbor.Unmarshal(updated, newMap), "reading the new value")
}

// fieldTypes returns the types of a struct's fields by integer key. It returns false if the struct has no integer keys.
func fieldTypes(t reflect.Type) (map[uint64]reflect.Type, bool) {
	out := make(map[uint64]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, options, _ := strings.Cut(f.Tag.Get("cbor"), ",")
		if !strings.Contains(options, "keyasint") {
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
