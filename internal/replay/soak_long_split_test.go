package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newLongSplitTest returns a test with eight VMs and upstreams, the last of which are absent.
func newLongSplitTest(t *testing.T, seed uint64) *soakTest {
	s := newSplitTest(t, seed, []string{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7"}, []string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"})
	s.absent = absentParts{vms: s.vms[7:], upstreams: s.upstreams[7:]}
	return s
}

// storelessCount returns how many groups lose the store.
func storelessCount(groups []vmGroup) int {
	count := 0
	for _, g := range groups {
		if g.storeless {
			count++
		}
	}
	return count
}

// TestLongSplitHasPropertiesOfItsKind checks what every kind of long split must hold.
func TestLongSplitHasPropertiesOfItsKind(t *testing.T) {
	const retention = 10 * time.Second
	for kind, check := range map[string]func(t *testing.T, s *soakTest, l longSplit){
		"any": func(*testing.T, *soakTest, longSplit) {},
		"lasting": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Greater(t, l.parts[0].endAt, retention)
		},
		"storeless": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Greater(t, l.parts[0].endAt, retention)
			require.Equal(t, len(l.parts[0].groups), storelessCount(l.parts[0].groups))
		},
		"store-first": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Zero(t, l.parts[0].storeLossAt)
		},
		"lapsing": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Equal(t, 1, storelessCount(l.parts[0].groups))
			lost := map[*soakUpstream]bool{}
			for _, g := range l.parts[0].groups {
				for _, u := range g.lost {
					if !g.storeless {
						lost[u] = true
					}
				}
			}
			require.Len(t, l.steps, len(lost))
		},
		"restarts": func(t *testing.T, s *soakTest, l longSplit) {
			require.Empty(t, s.absent.vms)
			require.GreaterOrEqual(t, len(l.steps), 2)
		},
		"changes": func(t *testing.T, s *soakTest, l longSplit) {
			require.Empty(t, s.absent.upstreams)
			require.GreaterOrEqual(t, len(l.steps), 3)
		},
		"stops": func(t *testing.T, _ *soakTest, l longSplit) {
			require.GreaterOrEqual(t, len(l.steps), 2)
		},
		"overlapping": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Len(t, l.parts, 2)
			require.LessOrEqual(t, l.parts[1].beginAt, l.parts[0].endAt)
		},
		"one-way": func(t *testing.T, _ *soakTest, l longSplit) {
			require.True(t, l.parts[0].oneWay)
		},
		"late-requests": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Len(t, l.steps, int(l.end()/soakHoldInterval))
		},
		"brief": func(t *testing.T, _ *soakTest, l longSplit) {
			require.Less(t, l.parts[0].endAt, 1500*time.Millisecond)
		},
	} {
		t.Run(kind, func(t *testing.T) {
			for seed := range uint64(30) {
				s := newLongSplitTest(t, seed)
				l := s.drawShaped(s.drawShape(kind))
				for _, p := range l.parts {
					require.LessOrEqual(t, p.storeLossAt, p.beginAt)
					require.Less(t, p.beginAt, p.endAt)
					var vms []*soakVM
					for _, g := range p.groups {
						vms = append(vms, g.vms...)
					}
					require.ElementsMatch(t, s.vms, vms)
				}
				for _, step := range l.steps {
					require.LessOrEqual(t, step.at, l.end())
				}
				check(t, s, l)
			}
		})
	}
}

// TestLongSplitsAreDrawnFromBriefToLasting checks that the kind of all kinds draws splits below
// and above the retentions of the daemons, each loss of the store, and every kind of change.
func TestLongSplitsAreDrawnFromBriefToLasting(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(100) {
		s := newLongSplitTest(t, seed)
		shape := s.drawShape(anyLongSplit)
		l := s.drawShaped(shape)
		first := l.parts[0]
		duration, storeless := first.endAt-first.beginAt, storelessCount(first.groups)
		for name, found := range map[string]bool{
			"brief": duration < time.Second, "lasting": duration > 10*time.Second, "second": len(l.parts) == 2, "one way": first.oneWay,
			"store first":             first.beginAt-first.storeLossAt > 10*time.Second && storeless > 0,
			"no group with the store": storeless == len(first.groups), "all groups with the store": storeless == 0,
			"some groups with the store": storeless > 0 && storeless < len(first.groups),
			"restarts":                   shape.restarts, "changes": shape.changes, "stops": shape.stops, "lapses": shape.lapses,
		} {
			seen[name] = seen[name] || found
		}
	}
	for name, found := range seen {
		require.True(t, found, name)
	}
}

// TestOneWaySplitLosesTrafficOfFirstGroup checks which links such a split cuts.
func TestOneWaySplitLosesTrafficOfFirstGroup(t *testing.T) {
	s := newSplitTest(t, 1, []string{"vm0", "vm1", "vm2"}, nil)
	heal := s.cutGroups(split{groups: []vmGroup{{vms: s.vms[:1]}, {vms: s.vms[1:]}}, oneWay: true})
	for _, from := range s.vms {
		for _, to := range s.vms {
			require.Equal(t, from == s.vms[0] && to != s.vms[0], s.links.get(from.name, to.name).healed != nil, "%s to %s", from.name, to.name)
		}
	}
	heal()
	require.Nil(t, s.links.get("vm0", "vm1").healed)
}

// TestHealOfFirstSplitEndsSecondOne checks that a link or a path that two splits cut works again
// only once both have healed.
func TestHealOfFirstSplitEndsSecondOne(t *testing.T) {
	s := newSplitTest(t, 1, []string{"vm0", "vm1", "vm2"}, []string{"u0"})
	healFirst := s.cutGroups(split{groups: []vmGroup{{vms: s.vms[:1], lost: s.upstreams, storeless: true}, {vms: s.vms[1:]}}})
	healSecond := s.cutGroups(split{groups: []vmGroup{{vms: s.vms[:2], lost: s.upstreams, storeless: true}, {vms: s.vms[2:]}}})
	isCut := func(from, to string) bool { return s.links.get(from, to).healed != nil }
	healFirst()
	require.False(t, isCut("vm0", "vm1"), "only the first split cuts it")
	for _, to := range []string{"vm2", "u0", platformName} {
		require.True(t, isCut("vm0", to), to)
	}
	healSecond()
	for _, to := range []string{"vm2", "u0", platformName} {
		require.False(t, isCut("vm0", to), to)
	}
}

// TestHeldRequestArrivesAtTheEndOfTheHold checks that a hold cuts only what callers send.
func TestHeldRequestArrivesAtTheEndOfTheHold(t *testing.T) {
	s := newSplitTest(t, 1, []string{"vm0"}, nil)
	release := s.holdRequests(s.vms[0])
	require.NotNil(t, s.links.get(soakCallers, "vm0").healed)
	require.Nil(t, s.links.get("vm0", soakCallers).healed)
	release()
	require.Nil(t, s.links.get(soakCallers, "vm0").healed)
}

// TestLongSplitHealsAndUndoesEverything runs a split with two parts and a change.
func TestLongSplitHealsAndUndoesEverything(t *testing.T) {
	s := newSplitTest(t, 1, []string{"vm0", "vm1", "vm2"}, []string{"u0"})
	var events []string
	s.runLongSplit(t.Context(), longSplit{
		parts: []splitPart{
			{split: split{groups: []vmGroup{{vms: s.vms[:1], lost: s.upstreams, storeless: true}, {vms: s.vms[1:]}}}, beginAt: time.Millisecond, endAt: 3 * time.Millisecond},
			{split: split{groups: []vmGroup{{vms: s.vms[:2]}, {vms: s.vms[2:], storeless: true}}}, beginAt: 2 * time.Millisecond, endAt: 4 * time.Millisecond},
		},
		steps: []splitStep{{at: time.Millisecond, duration: time.Millisecond, begin: func() func() {
			events = append(events, "begin")
			return func() { events = append(events, "undo") }
		}}},
	})
	require.Equal(t, []string{"begin", "undo"}, events)
	for _, from := range []string{"vm0", "vm1", "vm2"} {
		for _, to := range []string{"vm0", "vm1", "vm2", "u0", platformName} {
			require.Nil(t, s.links.get(from, to).healed, "%s to %s", from, to)
		}
	}
}
