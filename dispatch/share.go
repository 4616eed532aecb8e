package dispatch

import "github.com/mustardstep/mustardstep/internal/rendezvous"

// Share returns how many slots of an upstream belong to one of the VMs of its
// data centre. The slots are dealt one at a time in rendezvous order, so that
// every VM computes the same division, the shares of two VMs differ by one at
// most, and no more VMs connect to an upstream than it has slots. The VMs are
// given by the hashes of their names.
func Share(upstream string, slots int, vms []uint64, self uint64) int {
	if len(vms) == 0 {
		return 0
	}
	key := rendezvous.Hash(upstream)
	rank := 0
	for _, vm := range vms {
		if vm != self && rendezvous.Before(key, vm, self) {
			rank++
		}
	}
	share := slots / len(vms)
	if rank < slots%len(vms) {
		share++
	}
	return share
}
