// Package formattest compares the encodings of messages and stored values with the bytes that earlier builds wrote.
//
// For each encoding that a value ever had, there is a file testdata/formats/NAME.N.hex next to the test. It contains the
// bytes that builds write from generation N on (compat.Generation). Files are added and never changed.
//
// A test fails if the encoding of a value differs from its last file. It also fails if decoding and encoding the contents
// of any file does not reproduce them: then a field of an earlier build is lost, or decoded as another field.
package formattest

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgemount/ledgemount/internal/compat"
)

var addFiles = flag.Bool("formats.add", false, "add a file for each encoding that has changed")

const (
	dir          = "testdata/formats"
	bytesPerLine = 60 // encoded bytes per line of a file
)

// Codec encodes and decodes values in the same way as the program.
type Codec[T any] struct {
	Encode func(T) ([]byte, error)
	Decode func([]byte) (T, error)
}

// CBOR returns the codec of messages.
func CBOR[T any]() Codec[T] {
	return Codec[T]{
		Encode: func(v T) ([]byte, error) { return cbor.Marshal(v) },
		Decode: func(b []byte) (v T, err error) { return v, cbor.Unmarshal(b, &v) },
	}
}

// Check compares the encodings of a message with its files.
func Check[T any](t *testing.T, name string) {
	t.Helper()
	CheckWith(t, name, CBOR[T]())
}

// CheckWith compares the encodings of a value with its files. The value is encoded and decoded by c.
func CheckWith[T any](t *testing.T, name string, c Codec[T]) {
	t.Helper()
	faults, err := compare(name, c, compat.Generation)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range faults {
		t.Error(f)
	}
}

// compare returns the faults in the encodings of a value. With -formats.add it adds a file for an encoding that has
// changed, instead of returning a fault, unless this generation has a file already.
func compare[T any](name string, c Codec[T], generation int) (faults []string, err error) {
	files, err := readFiles(name, generation)
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		if err := checkRoundTrip(c, f.raw); err != nil {
			faults = append(faults, fmt.Sprintf("%s of generation %d: %v", name, f.generation, err))
		}
	}
	current, err := c.Encode(SampleValue[T]())
	if err != nil {
		return nil, err
	}
	last := file{}
	if len(files) > 0 {
		last = files[len(files)-1]
	}
	switch {
	case bytes.Equal(last.raw, current):
		return faults, nil
	case last.generation == generation:
		return append(faults, name+" has changed since its file of this generation was written: see compat.Generation"), nil
	case *addFiles:
		return faults, writeFile(name, generation, current)
	}
	return append(faults, fmt.Sprintf("%s is encoded otherwise than its file of generation %d says. Where builds of both kinds can live with that "+
		"(docs/design/builds.md), add a file: go test . -run TestFormats -args -formats.add", name, last.generation)), nil
}

// checkRoundTrip returns an error if decoding and encoding a value does not reproduce it.
func checkRoundTrip[T any](c Codec[T], raw []byte) error {
	v, err := c.Decode(raw)
	if err != nil {
		return fmt.Errorf("decoding: %w", err)
	}
	back, err := c.Encode(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(raw, back) {
		return fmt.Errorf("after decoding, %x is encoded as %x", raw, back)
	}
	return nil
}

// file is an encoding of a value and the first generation of builds that wrote it.
type file struct {
	generation int
	raw        []byte
}

// readFiles reads the files of a name up to a generation, in order.
func readFiles(name string, generation int) (out []file, err error) {
	for n := 1; n <= generation; n++ {
		text, err := os.ReadFile(path(name, n))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		raw, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path(name, n), err)
		}
		out = append(out, file{generation: n, raw: raw})
	}
	return out, nil
}

func writeFile(name string, n int, raw []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	for len(raw) > 0 {
		size := min(bytesPerLine, len(raw))
		b.WriteString(hex.EncodeToString(raw[:size]) + "\n")
		raw = raw[size:]
	}
	return os.WriteFile(path(name, n), []byte(b.String()), 0o644)
}

func path(name string, n int) string { return filepath.Join(dir, fmt.Sprintf("%s.%d.hex", name, n)) }

// SampleValue returns a value whose fields are all set. It is the same at each call.
func SampleValue[T any]() T {
	var v T
	f := filler{}
	f.fill(reflect.ValueOf(&v).Elem())
	return v
}

type filler struct {
	n     int64
	depth int
}

// maxDepth is the nesting depth beyond which pointers, slices and maps stay empty, since some types contain themselves.
const maxDepth = 8

var rawType = reflect.TypeFor[cbor.RawMessage]()

func (f *filler) fill(v reflect.Value) {
	f.n++
	f.depth++
	defer func() { f.depth-- }()
	if f.depth > maxDepth && (v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice || v.Kind() == reflect.Map) {
		return
	}
	if v.Type() == rawType {
		v.SetBytes([]byte{byte(f.n % 24)}) //nolint:gosec // a small number in CBOR
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n)) //nolint:gosec // it counts from 1
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		f.fillMap(v)
	case reflect.Struct:
		f.fillStruct(v)
	default:
		panic("formattest: a message has a field of kind " + v.Kind().String())
	}
}

// fillMap sets a map with one entry, because the order of several would be random.
func (f *filler) fillMap(v reflect.Value) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillStruct(v reflect.Value) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(v.Field(i))
		}
	}
}
