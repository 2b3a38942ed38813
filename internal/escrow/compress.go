package escrow

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// gzipMagic is how compressed bytes begin; no page in CBOR does.
var gzipMagic = []byte{0x1f, 0x8b}

// maxPageSize is the size in bytes up to which a page is decompressed: far more than the store takes of a value.
const maxPageSize = 64 << 20

// minCompressSize is the size in bytes from which compressing a page is worth its time: that of a fleet of about 50.
const minCompressSize = 16 << 10

// compressors are kept, as each takes about a megabyte.
var compressors = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails for levels that do not exist only
	return z
}}

// compress makes large pages smaller and leaves others as they are.
func compress(b []byte) ([]byte, error) {
	if len(b) < minCompressSize {
		return b, nil
	}
	z, _ := compressors.Get().(*gzip.Writer)
	defer compressors.Put(z)
	var out bytes.Buffer
	z.Reset(&out)
	if _, err := z.Write(b); err != nil {
		return nil, eris.Wrap(err, "compressing an escrow page")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing an escrow page")
	}
	return out.Bytes(), nil
}

func decompress(b []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing an escrow page")
	}
	out, err := io.ReadAll(io.LimitReader(z, maxPageSize))
	return out, eris.Wrap(err, "decompressing an escrow page")
}
