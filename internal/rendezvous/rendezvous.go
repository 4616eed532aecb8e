// Package rendezvous ranks nodes for a key by rendezvous hashing: every
// process that knows the same nodes computes the same order, and a node that
// comes or goes moves only the keys that it gains or loses.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a node name or a key.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// HashPair returns the hash of two texts, distinct from that of their
// concatenation.
func HashPair(a, b string) uint64 {
	return mix(Hash(a) ^ mix(Hash(b)+1))
}

// Score returns the weight of a node for a key. The node with the greatest
// score owns the key; the next one follows it.
func Score(key, node uint64) uint64 { return mix(key ^ mix(node)) }

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Best returns the index of the node with the greatest score, or -1 where
// there are no nodes. Equal scores go to the smaller hash.
func Best(key uint64, nodes []uint64) int {
	best := -1
	for i, node := range nodes {
		if best < 0 || Before(key, node, nodes[best]) {
			best = i
		}
	}
	return best
}

// Before reports whether node a ranks ahead of node b for the key.
func Before(key, a, b uint64) bool {
	scoreA, scoreB := Score(key, a), Score(key, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}
