// Package vmlist reads and writes the entries by which VMs are listed in the
// platform's store: mustardstep/vms/entry/ holds those that take calls,
// mustardstep/vms/upstream/ those that run tasks.
package vmlist

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/store"
)

const prefix = "mustardstep/vms/"

// Prefixes of the entries, by role.
const (
	EntryPrefix    = prefix + api.RoleEntry + "/"
	UpstreamPrefix = prefix + api.RoleUpstream + "/"
)

// Put writes the entry of a VM.
func Put(ctx context.Context, s store.Store, vm api.VM) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return errors.Wrap(err, "encode the entry of a VM")
	}
	return store.Put(ctx, s, prefix+vm.Role+"/"+vm.Name, value, 0)
}

// List reads the entries under a prefix.
func List(ctx context.Context, s store.Store, prefix string) ([]api.VM, error) {
	items, _, err := store.List(ctx, s, prefix, false)
	if err != nil {
		return nil, err
	}
	vms := make([]api.VM, len(items))
	for i, item := range items {
		if vms[i], err = Decode(item); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// Decode reads an entry.
func Decode(item store.Item) (api.VM, error) {
	var vm api.VM
	if err := json.Unmarshal(item.Value, &vm); err != nil {
		return api.VM{}, errors.Wrapf(err, "entry %s", item.Key)
	}
	if vm.Name == "" || vm.Address == "" {
		return api.VM{}, errors.Newf("entry %s names no VM with an address", item.Key)
	}
	return vm, nil
}
