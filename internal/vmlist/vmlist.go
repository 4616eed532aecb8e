// Package vmlist reads and writes the registration entries of VMs in the platform's
// store. Keys below mustardstep/vms/entry/ belong to VMs that run mustardstepd,
// keys below mustardstep/vms/upstream/ to upstreams.
package vmlist

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/store"
)

const keyPrefix = "mustardstep/vms/"

// Key prefixes of the entries of each role. EntryPrefix is that of entry VMs, which
// run mustardstepd.
const (
	EntryPrefix    = keyPrefix + api.RoleEntry + "/"
	UpstreamPrefix = keyPrefix + api.RoleUpstream + "/"
)

// Put writes the entry of a VM to the store.
func Put(ctx context.Context, s store.Store, vm api.VM) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return errors.Wrap(err, "encode the VM entry")
	}
	return store.Put(ctx, s, keyPrefix+vm.Role+"/"+vm.Name, value, 0)
}

// InvalidEntry is an entry that describes no VM. Another writer may have left it.
type InvalidEntry struct {
	Key      string
	Revision int64
	Err      error
}

// List returns the VMs whose keys start with prefix, and the invalid entries among them.
func List(ctx context.Context, s store.Store, prefix string) (vms []api.VM, invalid []InvalidEntry, err error) {
	items, _, err := store.List(ctx, s, prefix, false)
	for _, item := range items {
		vm, err := Decode(item)
		if err != nil {
			invalid = append(invalid, InvalidEntry{item.Key, item.Revision, err})
			continue
		}
		vms = append(vms, vm)
	}
	return vms, invalid, err
}

// Decode decodes and validates a VM entry.
func Decode(item store.Item) (api.VM, error) {
	var vm api.VM
	if err := json.Unmarshal(item.Value, &vm); err != nil {
		return api.VM{}, errors.Wrapf(err, "decode VM entry %s", item.Key)
	}
	if vm.Name == "" || vm.Address == "" {
		return api.VM{}, errors.Newf("VM entry %s has no name or no address", item.Key)
	}
	return vm, nil
}
