package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Weight is the weight of a peer for a key in rendezvous hashing.
func Weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Rank orders peers for a key, best first. The order depends only on the key and the set of peers.
func Rank(key string, peers []mesh.Peer) []mesh.Peer {
	out := append([]mesh.Peer(nil), peers...)
	sort.Slice(out, func(i, j int) bool {
		a, b := Weight(key, out[i].ID), Weight(key, out[j].ID)
		if a != b {
			return a > b
		}
		return out[i].ID < out[j].ID
	})
	return out
}

// Top returns the best peer for a key, except the one with the ID exclude. If there is no other peer, it returns the
// excluded one.
func Top(key string, peers []mesh.Peer, exclude string) (mesh.Peer, bool) {
	var best, excluded mesh.Peer
	var bestScore uint64
	found, sawExcluded := false, false
	for _, p := range peers {
		if p.ID == exclude {
			excluded, sawExcluded = p, true
			continue
		}
		if s := Weight(key, p.ID); !found || s > bestScore || (s == bestScore && p.ID < best.ID) {
			best, bestScore, found = p, s, true
		}
	}
	if found {
		return best, true
	}
	return excluded, sawExcluded
}
