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

// DecodeStrict reads JSON into out. Unknown fields, wrong types and values out of range are Faults with their paths;
// out keeps its defaults where the input says nothing.
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

// unusedMark begins the decoder's message about fields that the target does not have.
const unusedMark = "has invalid keys: "

// unknownField is a Fault's detail.
const unknownField = "is not a known field"

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

// typeFaults turns the decoder's errors into faults. root is what the decoder calls the whole input.
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
		if keys, ok := strings.CutPrefix(de.Unwrap().Error(), unusedMark); ok {
			return unknownFields(strings.TrimPrefix(de.Name(), root), strings.Split(keys, ", "))
		}
		return Faults{{Path: pathOf(de.Name()), Detail: strings.TrimSpace(de.Unwrap().Error())}}
	}
	return Faults{{Path: "(input)", Detail: err.Error()}}
}

// ValidTokens reports whether n is a usable number of tokens.
func ValidTokens(n int64) bool { return n > 0 && n <= math.MaxInt64>>10 }
