package escrow

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// gzipMagic is the start of gzip data. No page in CBOR starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// maxPageSize limits the size in bytes of a decompressed page. It is far larger than any value that the store accepts.
const maxPageSize = 64 << 20

// minCompressSize is the size in bytes from which compressing a page is worth the time. A fleet of about 50 reaches it.
const minCompressSize = 16 << 10

// compressors reuses writers, since each takes about a megabyte.
var compressors = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails only for invalid levels
	return z
}}

// compress compresses large pages and returns others unchanged.
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
