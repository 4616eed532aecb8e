package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two processes cannot listen at one address. The order in which a member learns of them must not
// decide whether the older one counts as gone, and its own process is one of them.
func TestFormerProcessAtAddressThatIsNamedLaterIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		former func(members []Member) Member
		want   Silence
	}{
		"at the address of another member": {func(members []Member) Member {
			return Member{VM: "vm9", Incarnation: 1, DataCentre: "a", Address: members[1].Address}
		}, SilenceNone},
		"at the address of this member": {func(members []Member) Member {
			return Member{VM: "vm9", Incarnation: 1, DataCentre: "a", Address: members[0].Address}
		}, SilenceNone},
		"later than the other member": {func(members []Member) Member {
			return Member{VM: "vm9", Incarnation: 900, DataCentre: "a", Address: members[1].Address}
		}, SilenceLong},
		"at an address of its own": {func([]Member) Member {
			return Member{VM: "vm9", Incarnation: 1, DataCentre: "a", Address: "10.0.0.9:1"}
		}, SilenceLong},
	} {
		t.Run(name, func(t *testing.T) {
			f, members := newFleet(1, "a")
			f.SetRoster([]Member{c.former(members)})
			recordHeartbeats(f, start, members[1])
			require.Equal(t, c.want, f.View(start, 0).Silence)
		})
	}
}

// Entries without an address say nothing of each other.
func TestMembersWithoutAddressReplaceEachOther(t *testing.T) {
	f, members := newFleet(1, "a")
	recordHeartbeats(f, start, members[1])
	f.AddMembers([]Member{{VM: "vm8", Incarnation: 1, DataCentre: "a"}})
	f.AddMembers([]Member{{VM: "vm9", Incarnation: 2, DataCentre: "a"}})
	require.Len(t, f.View(start, 0).Lost, 2)
}
