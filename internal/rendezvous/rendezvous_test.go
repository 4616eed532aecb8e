package rendezvous

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRemovingANodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.Uint64(), 2, 20, rapid.ID).Draw(t, "nodes")
		key := rapid.Uint64().Draw(t, "key")
		gone := rapid.IntRange(0, len(nodes)-1).Draw(t, "gone")
		owner := nodes[Best(key, nodes)]
		rest := append(append([]uint64(nil), nodes[:gone]...), nodes[gone+1:]...)
		if owner != nodes[gone] {
			require.Equal(t, owner, rest[Best(key, rest)])
		}
	})
}

func TestBestOfNoNodes(t *testing.T) {
	require.Equal(t, -1, Best(1, nil))
}
