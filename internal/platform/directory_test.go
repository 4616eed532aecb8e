package platform_test

import (
	"testing"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/platform"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/stretchr/testify/require"
)

// directories makes each implementation of Directory over a store.
var directories = map[string]func(*testing.T, *standin.FaultyStore) platform.Directory{
	"memory": func(_ *testing.T, store *standin.FaultyStore) platform.Directory { return store },
	"client": func(t *testing.T, store *standin.FaultyStore) platform.Directory {
		return platform.NewClient(serve(t, store), callTimeout)
	},
}

func namesOf(list *api.VMList) []string {
	var names []string
	for _, vm := range list.VMs {
		names = append(names, vm.Name)
	}
	return names
}

func TestDirectory(t *testing.T) {
	for name, open := range directories {
		t.Run(name, func(t *testing.T) {
			store := standin.NewFaultyStore(platform.NewMemory())
			for _, vm := range []api.VM{
				{Name: "u2", Role: api.RoleUpstream, DataCentre: "fes", State: api.VMLive},
				{Name: "u1", Role: api.RoleUpstream, DataCentre: "rabat", State: api.VMLive},
				{Name: "e1", Role: api.RoleEntry, DataCentre: "fes", State: api.VMLive},
			} {
				store.PutVM(vm)
			}
			directory := open(t, store)
			all, err := directory.VMs(t.Context(), "", "")
			require.NoError(t, err)
			require.Equal(t, []string{"e1", "u1", "u2"}, namesOf(all))
			part, err := directory.VMs(t.Context(), "rabat", "")
			require.NoError(t, err)
			require.Equal(t, []string{"e1", "u1"}, namesOf(part), "the own VMs and every entry VM")

			store.PutVM(api.VM{Name: "u2", Role: api.RoleUpstream, DataCentre: "fes", State: api.VMLeaving})
			same, err := directory.VMs(t.Context(), "rabat", part.Tag)
			require.NoError(t, err)
			require.True(t, same.Unchanged)
			require.Empty(t, same.VMs)

			store.PutVM(api.VM{Name: "u1", Role: api.RoleUpstream, DataCentre: "rabat", State: api.VMGone})
			changed, err := directory.VMs(t.Context(), "rabat", part.Tag)
			require.NoError(t, err)
			require.False(t, changed.Unchanged)
			require.Equal(t, api.VMGone, changed.VMs[1].State)
		})
	}
}
