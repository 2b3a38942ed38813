package memory

import (
	"errors"
	"io"
)

// ErrExceeded reports that an account was refused the memory for a buffer.
var ErrExceeded = errors.New("memory of open requests exceeded")

// firstBuffer is the size in bytes of the first buffer for data of unknown or large size. It doubles until the data fits,
// so that a peer that only announces much holds little.
const firstBuffer = 16 << 10

// Read reads up to limit bytes from r until EOF. size is the expected number of bytes; -1: unknown. complete is false if
// more than limit bytes may follow. If the account refuses memory, Read returns what it has read, and ErrExceeded.
func Read(r io.Reader, size, limit int64, a *Account) (data []byte, complete bool, err error) {
	first := int64(firstBuffer)
	if size >= 0 {
		first = min(first, size+1) // the additional byte detects the end
	}
	first = min(first, limit)
	if !a.Grow(first) {
		return nil, false, ErrExceeded
	}
	data = make([]byte, 0, first)
	for {
		if len(data) == cap(data) {
			if int64(len(data)) >= limit {
				return data, false, nil
			}
			grown, ok := grow(data, size, limit, a)
			if !ok {
				return data, false, ErrExceeded
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return data, false, err
		}
	}
}

// grow returns a copy of data with about twice the capacity.
func grow(data []byte, size, limit int64, a *Account) ([]byte, bool) {
	next := 2 * int64(cap(data))
	if size >= int64(cap(data)) {
		next = min(next, size+1)
	}
	next = min(next, limit)
	if !a.Grow(next) {
		return nil, false
	}
	out := make([]byte, len(data), next)
	copy(out, data)
	a.Shrink(int64(cap(data)))
	return out, true
}
