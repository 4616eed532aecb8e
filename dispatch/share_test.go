package dispatch

import (
	"fmt"
	"testing"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/stretchr/testify/require"
)

func TestShareDealsEverySlotOnce(t *testing.T) {
	for vms := 1; vms <= 12; vms++ {
		var hashes []uint64
		for i := range vms {
			hashes = append(hashes, rendezvous.Hash(fmt.Sprintf("vm%d", i)))
		}
		for u := range 20 {
			sum := 0
			for _, self := range hashes {
				share := Share(fmt.Sprintf("u%d", u), 8, hashes, self)
				require.InDelta(t, 8/float64(vms), float64(share), 1)
				sum += share
			}
			require.Equal(t, 8, sum)
		}
	}
}

func TestShareMovesFewSlotsWhenAVMGoes(t *testing.T) {
	var hashes []uint64
	for i := range 10 {
		hashes = append(hashes, rendezvous.Hash(fmt.Sprintf("vm%d", i)))
	}
	moved := 0
	for u := range 100 {
		name := fmt.Sprintf("u%d", u)
		for _, self := range hashes[1:] {
			if Share(name, 8, hashes, self) != Share(name, 8, hashes[1:], self) {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 100, "each upstream gives at most the one slot of the VM that went")
}
