// Package formattest holds the encodings of what leaves a process, or outlives it, against the bytes that earlier builds wrote.
//
// Beside a test lies testdata/formats/NAME.N.hex for each encoding that a value ever had: what builds from generation N on write (compat.Generation).
// Files are added and never changed. A test fails when a value is encoded otherwise than its last file says, and when the value of any file does not
// come back whole after it was read and written again: then a field of an earlier build is lost, or read as another.
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

var add = flag.Bool("formats.add", false, "add a file for each encoding that has changed")

const (
	dir      = "testdata/formats"
	lineSize = 60 // bytes of a line of a file
)

// Codec writes and reads values as the program does.
type Codec[T any] struct {
	Encode func(T) ([]byte, error)
	Decode func([]byte) (T, error)
}

// CBOR is the codec of messages.
func CBOR[T any]() Codec[T] {
	return Codec[T]{
		Encode: func(v T) ([]byte, error) { return cbor.Marshal(v) },
		Decode: func(b []byte) (v T, err error) { return v, cbor.Unmarshal(b, &v) },
	}
}

// Check holds the encodings of a message against its files.
func Check[T any](t *testing.T, name string) {
	t.Helper()
	CheckWith(t, name, CBOR[T]())
}

// CheckWith holds the encodings of a value that has a codec of its own against its files.
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

// compare reports what is wrong with the encodings of a value, and adds a file where it is asked to.
func compare[T any](name string, c Codec[T], generation int) (faults []string, err error) {
	files, err := read(name, generation)
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		if err := keeps(c, f.raw); err != nil {
			faults = append(faults, fmt.Sprintf("%s of generation %d: %v", name, f.generation, err))
		}
	}
	now, err := c.Encode(SampleValue[T]())
	if err != nil {
		return nil, err
	}
	last := file{}
	if len(files) > 0 {
		last = files[len(files)-1]
	}
	switch {
	case bytes.Equal(last.raw, now):
		return faults, nil
	case last.generation == generation:
		return append(faults, name+" has changed since its file of this generation was written: see compat.Generation"), nil
	case *add:
		return faults, write(name, generation, now)
	}
	return append(faults, fmt.Sprintf("%s is encoded otherwise than its file of generation %d says. Where builds of both kinds can live with that "+
		"(docs/design/builds.md), add a file: go test . -run TestFormats -args -formats.add", name, last.generation)), nil
}

// keeps reports what is lost of a value that is read and written again.
func keeps[T any](c Codec[T], raw []byte) error {
	v, err := c.Decode(raw)
	if err != nil {
		return fmt.Errorf("it cannot be read: %w", err)
	}
	back, err := c.Encode(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(raw, back) {
		return fmt.Errorf("%x comes back as %x", raw, back)
	}
	return nil
}

// file is an encoding of a value, and the first generation of builds that wrote it.
type file struct {
	generation int
	raw        []byte
}

// read finds the files of a name, in their order.
func read(name string, generation int) (out []file, err error) {
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

func write(name string, n int, raw []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	for len(raw) > 0 {
		size := min(lineSize, len(raw))
		b.WriteString(hex.EncodeToString(raw[:size]) + "\n")
		raw = raw[size:]
	}
	return os.WriteFile(path(name, n), []byte(b.String()), 0o644)
}

func path(name string, n int) string { return filepath.Join(dir, fmt.Sprintf("%s.%d.hex", name, n)) }

// SampleValue is a value of which every field says something, always the same.
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

// deepest is how far a value may stand in others that is filled: some hold others of their own type.
const deepest = 8

var rawType = reflect.TypeFor[cbor.RawMessage]()

func (f *filler) fill(v reflect.Value) {
	f.n++
	f.depth++
	defer func() { f.depth-- }()
	if f.depth > deepest && (v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice || v.Kind() == reflect.Map) {
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

// fillMap makes one entry: the order of several would be random.
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
