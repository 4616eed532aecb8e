package replay

import (
	"testing"

	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// TestSplitCutsOnlyBetweenDataCentres checks which links and paths a split cuts, and that
// all of them are healed.
func TestSplitCutsOnlyBetweenDataCentres(t *testing.T) {
	s := &soakTest{links: newLinks(), store: standin.NewFaultyStore(store.NewMemory())}
	for i, name := range []string{"u0", "u1"} {
		s.upstreams = append(s.upstreams, &soakUpstream{entry: scheduler.Upstream{Name: name, DataCentre: []string{"dc0", "dc1"}[i]}})
	}
	for i, name := range []string{"vm0", "vm1", "vm2"} {
		v := &soakVM{name: name, dataCentre: []string{"dc0", "dc1"}[i%soakDataCentres]}
		s.vms = append(s.vms, v)
		require.NoError(t, s.addPaths(v))
		for _, p := range v.paths {
			t.Cleanup(p.relay.close)
		}
	}
	names := []string{"vm0", "vm1", "vm2", "u0", "u1", platformName}
	cut := func() (cut [][2]string) {
		for _, from := range names {
			for _, to := range names {
				if s.links.get(from, to).healed != nil {
					cut = append(cut, [2]string{from, to})
				}
			}
		}
		return cut
	}
	heal := s.cutBetweenDataCentres(split{how: cutBoth, storeless: []bool{true, false}})
	require.ElementsMatch(t, [][2]string{
		{"vm0", "vm1"}, {"vm1", "vm0"}, {"vm2", "vm1"}, {"vm1", "vm2"},
		{"vm0", "u1"}, {"u1", "vm0"}, {"vm2", "u1"}, {"u1", "vm2"}, {"vm1", "u0"}, {"u0", "vm1"},
		{"vm0", platformName}, {"vm2", platformName},
	}, cut())
	heal()
	require.Empty(t, cut())
}
