package vmlist

import (
	"testing"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

func TestOddEntryHidesTheOthers(t *testing.T) {
	s := store.NewMemory()
	good := api.VM{Name: "vm1", Role: api.RoleEntry, Address: "10.0.0.1:80"}
	require.NoError(t, Put(t.Context(), s, good))
	s.Set(EntryPrefix+"odd", []byte("\xff{"))
	vms, invalid, err := List(t.Context(), s, EntryPrefix)
	require.NoError(t, err)
	require.Equal(t, []api.VM{good}, vms)
	require.Len(t, invalid, 1)
	require.Equal(t, EntryPrefix+"odd", invalid[0].Key)
}
