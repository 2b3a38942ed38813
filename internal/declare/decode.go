package declare

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"

	"github.com/go-viper/mapstructure/v2"
)

// DecodeStrict decodes JSON into out. Unknown fields, wrong types and values out of range are returned as Faults.
// Fields that are not in the input keep the values that they have in out.
func DecodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var raw any
	if err := dec.Decode(&raw); err != nil {
		return Faults{{Path: "(input)", Detail: "is not valid JSON: " + err.Error()}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Faults{{Path: "(input)", Detail: "has more after the JSON value"}}
	}
	if _, ok := raw.(map[string]any); !ok {
		return Faults{{Path: "(input)", Detail: "must be an object"}}
	}
	return decodeValue(raw, out)
}

func decodeValue(raw, out any) error {
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:      out,
		TagName:     "json",
		ErrorUnused: true,
		MatchName:   func(key, field string) bool { return key == field },
		DecodeHook:  mapstructure.StringToTimeDurationHookFunc(),
	})
	if err != nil {
		return err
	}
	if err := d.Decode(raw); err != nil {
		return typeFaults(err, reflect.TypeOf(out).Elem().String()).OrNil()
	}
	return nil
}

// unusedKeysPrefix is the prefix of the decoder's message about fields that the target does not have.
const unusedKeysPrefix = "has invalid keys: "

// unknownField is the detail of a Fault for a field that the target does not have.
const unknownField = "is not a known field"

// unknownFields returns a Fault for each unknown field of the object at path parent.
func unknownFields(parent string, keys []string) Faults {
	out := make(Faults, 0, len(keys))
	for _, key := range keys {
		path := key
		if parent != "" {
			path = parent + "." + key
		}
		out = append(out, Fault{Path: pathOf(path), Detail: unknownField})
	}
	return out
}

// typeFaults converts the decoder's errors to faults. root is the name that the decoder gives to the root of the input.
func typeFaults(err error, root string) Faults {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		out := make(Faults, 0, len(joined.Unwrap()))
		for _, e := range joined.Unwrap() {
			out = append(out, typeFaults(e, root)...)
		}
		return out
	}
	var de *mapstructure.DecodeError
	if errors.As(err, &de) {
		if keys, ok := strings.CutPrefix(de.Unwrap().Error(), unusedKeysPrefix); ok {
			return unknownFields(strings.TrimPrefix(de.Name(), root), strings.Split(keys, ", "))
		}
		return Faults{{Path: pathOf(de.Name()), Detail: strings.TrimSpace(de.Unwrap().Error())}}
	}
	return Faults{{Path: "(input)", Detail: err.Error()}}
}

// ValidTokens reports whether n is a valid number of tokens: positive and below 2^53.
func ValidTokens(n int64) bool { return n > 0 && n <= math.MaxInt64>>10 }
