// Package rendezvous implements rendezvous (highest random weight) hashing.
// Every process that knows the same nodes computes the same order, and adding
// or removing a node moves only the keys that it gains or loses.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a node name or a key.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// HashPair returns the hash of a pair of strings. It differs from the hash of
// their concatenation.
func HashPair(a, b string) uint64 {
	return mix(Hash(a) ^ mix(Hash(b)+1))
}

// Score returns the weight of a node for a key. The node with the greatest
// score owns the key; the node with the next greatest is its successor.
func Score(key, node uint64) uint64 { return mix(key ^ mix(node)) }

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Best returns the index of the node with the greatest score, or -1 if there
// are no nodes. Ties go to the smaller hash.
func Best(key uint64, nodes []uint64) int {
	best := -1
	for i, node := range nodes {
		if best < 0 || Before(key, node, nodes[best]) {
			best = i
		}
	}
	return best
}

// Before reports whether node a ranks before node b for a key.
func Before(key, a, b uint64) bool {
	scoreA, scoreB := Score(key, a), Score(key, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}
