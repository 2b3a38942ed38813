// Package packed encodes values that are large and sent to many instances: CBOR, compressed with gzip.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxBytes limits the decompressed size of a value.
const maxBytes = 64 << 20

// Encode encodes and compresses a value.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := cbor.NewEncoder(z).Encode(v); err != nil {
		return nil, eris.Wrap(err, "encoding a packed value")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing a packed value")
	}
	return b.Bytes(), nil
}

// Decode reverses Encode.
func Decode[T any](b []byte) (T, error) {
	var v T
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return v, eris.Wrap(err, "decompressing a packed value")
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxBytes))
	if err != nil {
		return v, eris.Wrap(err, "decompressing a packed value")
	}
	return v, eris.Wrap(cbor.Unmarshal(raw, &v), "decoding a packed value")
}
