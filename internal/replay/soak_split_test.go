package replay

import (
	"io"
	"math/rand/v2"
	"testing"

	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// newSplitTest returns VMs and upstreams, spread over the data centres, with open paths.
func newSplitTest(t *testing.T, seed uint64, vms, upstreams []string) *soakTest {
	s := &soakTest{checker: newSoakChecker(io.Discard), links: newLinks(), store: standin.NewFaultyStore(store.NewMemory()), rng: rand.New(rand.NewPCG(seed, 1))}
	for i, name := range upstreams {
		s.upstreams = append(s.upstreams, &soakUpstream{entry: scheduler.Upstream{Name: name, DataCentre: soakDataCentres[i%len(soakDataCentres)]}})
	}
	for i, name := range vms {
		v := &soakVM{name: name, dataCentre: soakDataCentres[i%len(soakDataCentres)]}
		s.vms = append(s.vms, v)
		require.NoError(t, s.addPaths(v))
		for _, p := range v.paths {
			t.Cleanup(p.relay.close)
		}
	}
	return s
}

// TestSplitCutsOnlyBetweenGroups checks which links and paths a split cuts, and that all of
// them are healed.
func TestSplitCutsOnlyBetweenGroups(t *testing.T) {
	names := []string{"vm0", "vm1", "vm2", "vm3", "u0", "u1", "u2", platformName}
	for name, c := range map[string]struct {
		groups func(*soakTest) []vmGroup
		want   [][2]string // each is cut in both directions
	}{
		"data centre apart from the others": {
			func(s *soakTest) []vmGroup { return s.groupsOf([][]string{{"dc1"}, {"dc0", "dc2"}}) },
			[][2]string{{"vm0", "vm1"}, {"vm1", "vm2"}, {"vm1", "vm3"}, {"vm0", "u1"}, {"vm1", "u0"}, {"vm1", "u2"}, {"vm2", "u1"}, {"vm3", "u1"}},
		},
		"data centres apart from each other": {
			(*soakTest).separateDataCentres,
			[][2]string{
				{"vm0", "vm1"}, {"vm0", "vm2"}, {"vm1", "vm2"}, {"vm1", "vm3"}, {"vm2", "vm3"},
				{"vm0", "u1"}, {"vm0", "u2"}, {"vm1", "u0"}, {"vm1", "u2"}, {"vm2", "u0"}, {"vm2", "u1"}, {"vm3", "u1"}, {"vm3", "u2"},
			},
		},
		"groups that share upstreams": {
			func(s *soakTest) []vmGroup {
				return []vmGroup{{vms: s.vms[:2]}, {vms: s.vms[2:], lost: s.upstreams[1:2]}}
			},
			[][2]string{{"vm0", "vm2"}, {"vm0", "vm3"}, {"vm1", "vm2"}, {"vm1", "vm3"}, {"vm2", "u1"}, {"vm3", "u1"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSplitTest(t, 1, names[:4], names[4:7])
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
			groups := c.groups(s)
			groups[0].storeless = true
			var want [][2]string
			for _, pair := range c.want {
				want = append(want, pair, [2]string{pair[1], pair[0]})
			}
			for _, v := range groups[0].vms {
				want = append(want, [2]string{v.name, platformName})
			}
			heal := s.cutGroups(split{groups: groups, how: cutBoth})
			require.ElementsMatch(t, want, cut())
			heal()
			require.Empty(t, cut())
		})
	}
}

// TestDrawnGroupsHoldEachVMOnce checks that the groups of each kind of split hold each VM once
// and that some group reaches each upstream.
func TestDrawnGroupsHoldEachVMOnce(t *testing.T) {
	for name, draw := range map[string]func(*soakTest) []vmGroup{
		"data centres": (*soakTest).drawDataCentres,
		"sharing":      (*soakTest).drawSharingGroups,
		"reaching":     (*soakTest).drawReachingGroups,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSplitTest(t, seed, []string{"vm0", "vm1", "vm2", "vm3"}, []string{"u0", "u1", "u2", "u3", "u4", "u5"})
				var vms []*soakVM
				losers := map[string]int{}
				groups := draw(s)
				for _, g := range groups {
					require.NotEmpty(t, g.vms)
					vms = append(vms, g.vms...)
					for _, u := range g.lost {
						losers[u.entry.Name]++
					}
				}
				require.ElementsMatch(t, s.vms, vms)
				for _, lost := range losers {
					require.Less(t, lost, len(groups), "an upstream that no group reaches")
				}
				if name == "sharing" {
					require.LessOrEqual(t, len(losers), len(s.upstreams)/2)
					require.False(t, len(groups[0].lost) > 0 && len(groups[1].lost) > 0, "both groups lose upstreams")
				}
			}
		})
	}
}
