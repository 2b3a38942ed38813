// Package quarantine knows requests again that end the endpoints that run them, and keeps them from ending more.
//
// A request that makes its endpoint's process end comes back: from its caller, with another ID, at any instance. Each of its runs breaks
// off everything else that the endpoint was running. So instances remember the runs that an endpoint did not outlive, by what the request
// is and not by its ID, tell each other, and run no request any more under which several endpoints have ended in a row.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest names a request by what it asks and who asks it, whatever ID it carries. It is a part of a SHA-256 sum: a caller cannot make two
// requests alike, and no body can be read from it.
type Digest [16]byte

// Of makes the digest of a request. customer is the one whose key was used; target is the path and query as the caller wrote them.
func Of(customer, method, host, target string, body []byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{customer, method, host, target} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var p Digest
	copy(p[:], h.Sum(nil))
	return p
}

// String is the digest in hexadecimal digits.
func (p Digest) String() string { return hex.EncodeToString(p[:]) }
