// Package quarantine recognizes requests that crash the endpoints that run them, and keeps them from crashing more.
//
// A request that crashes the process of its endpoint usually returns: its caller sends it again, with another ID, to
// any instance. Each crash aborts everything else that the endpoint was running. Instances therefore record the runs
// during which an endpoint crashed, by the content of the request and not by its ID. They report these runs to each
// other, and no longer run a request if several endpoints in a row have crashed while they ran it.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request by its content and its customer, regardless of its ID. It is a part of a SHA-256 sum: a
// caller cannot make two requests with the same digest, and the body cannot be recovered from the digest.
type Digest [16]byte

// DigestOf returns the digest of a request. customer is the one whose key was used; target is the path and query as the
// caller wrote them.
func DigestOf(customer, method, host, target string, body []byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{customer, method, host, target} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
