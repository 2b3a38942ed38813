package feed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxUnpackedBytes limits the decompressed size of a configuration or an endpoint list.
const maxUnpackedBytes = 64 << 20

// pack encodes and compresses a value.
func pack(v any) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := cbor.NewEncoder(z).Encode(v); err != nil {
		return nil, eris.Wrap(err, "encoding an update")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing an update")
	}
	return b.Bytes(), nil
}

// unpack reverses pack.
func unpack[T any](b []byte) (T, error) {
	var v T
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return v, eris.Wrap(err, "decompressing an update")
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxUnpackedBytes))
	if err != nil {
		return v, eris.Wrap(err, "decompressing an update")
	}
	return v, eris.Wrap(cbor.Unmarshal(raw, &v), "decoding an update")
}
