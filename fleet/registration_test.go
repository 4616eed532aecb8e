package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testLeaseMax = time.Second

// registrationModel runs the decisions of a small fleet about the roster on a store that it models,
// in virtual time. Heartbeats pass every step.
type registrationModel struct {
	t       *testing.T
	now     time.Time
	vms     []*modelVM
	roster  map[string]RosterEntry
	members map[string]bool      // entries of members, by VM; they end with their leases
	leases  map[string]time.Time // end, by VM
	changes int64
	trace   []string
}

type modelVM struct {
	member       Member
	fleet        *Fleet
	registration *Registration
	removals     Removals
	records      bool      // it is on the roster as far as it knows
	storeAt      time.Time // when the store last answered
	alive, store bool
	group        int // VMs hear those of their group
	bridge       int // and those of another one; -1 for none
	barred       bool
	barredSince  time.Time
	readNext     time.Time
}

const modelStep = 100 * time.Millisecond

func newRegistrationModel(t *testing.T, dataCentres ...string) *registrationModel {
	m := &registrationModel{t: t, now: time.Unix(1000, 0), roster: map[string]RosterEntry{}, members: map[string]bool{}, leases: map[string]time.Time{}}
	for _, dc := range dataCentres {
		m.add(dc)
	}
	m.run(5 * time.Second)
	return m
}

func (m *registrationModel) add(dataCentre string) *modelVM {
	i := len(m.vms)
	vm := &modelVM{alive: true, store: true, bridge: -1, member: Member{VM: fmt.Sprintf("vm%d", i), DataCentre: dataCentre, Address: fmt.Sprintf("host%d", i), Weight: 400}}
	m.vms = append(m.vms, vm)
	m.start(vm)
	return vm
}

// start starts a process at a VM.
func (m *registrationModel) start(vm *modelVM) {
	m.changes++
	vm.member.Incarnation = uint64(m.changes)
	vm.fleet, vm.registration, vm.removals = New(vm.member), &Registration{}, Removals{}
	vm.alive, vm.records, vm.barred, vm.storeAt, vm.readNext = true, false, false, time.Time{}, time.Time{}
}

func (m *registrationModel) note(format string, values ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7d ms  ", m.now.Sub(time.Unix(1000, 0)).Milliseconds())+fmt.Sprintf(format, values...))
}

func (m *registrationModel) hears(a, b *modelVM) bool {
	return a.alive && b.alive && (a.group == b.group || a.bridge == b.group || b.bridge == a.group)
}

// register writes the entries of a VM, or renews its lease.
func (m *registrationModel) register(vm *modelVM) {
	if !vm.store || !vm.alive {
		return
	}
	vm.storeAt = m.now
	if m.leases[vm.member.VM].After(m.now) && vm.records {
		m.leases[vm.member.VM] = m.now.Add(4 * time.Second)
		if vm.registration.HearsAll(m.now) || m.members[vm.member.VM] {
			vm.registration.Confirm(m.now)
			if vm.registration.Current(vm.fleet.Record()) {
				return
			}
		}
	}
	m.changes++
	record := vm.fleet.Record()
	vm.registration.Send(m.now, record)
	m.roster[vm.member.VM] = RosterEntry{Member: vm.member, Revision: m.changes, Removable: true, Record: record}
	m.members[vm.member.VM], m.leases[vm.member.VM] = true, m.now.Add(4*time.Second)
	vm.registration.Written(m.now)
	vm.records = true
}

// read reads the roster at a VM and removes what is due.
func (m *registrationModel) read(vm *modelVM) {
	if !vm.store || !vm.alive {
		return
	}
	vm.storeAt = m.now
	var entries []RosterEntry
	var members, listed []Member
	for _, e := range m.roster {
		e.Listed = m.members[e.Member.VM] && m.leases[e.Member.VM].After(m.now)
		entries, members = append(entries, e), append(members, e.Member)
		if e.Listed {
			listed = append(listed, e.Member)
		}
	}
	vm.fleet.SetRoster(members)
	vm.fleet.SetListed(listed)
	v := vm.fleet.View(m.now, 0)
	due, next := vm.removals.Observe(m.now, vm.fleet, &v, entries, testLeaseMax)
	vm.readNext = m.now.Add(next)
	if next == 0 {
		vm.readNext = m.now.Add(2 * time.Second)
	}
	for _, e := range due {
		vm.readNext = m.now
		m.note("%s removes %s", vm.member.VM, e.Member.VM)
		for _, other := range m.vms {
			if other.member.VM != e.Member.VM || !other.alive || !other.records {
				continue
			}
			require.True(m.t, other.barred && m.now.Sub(other.barredSince) > testLeaseMax*106/100, "%s is removed while its runs may go on: %v", other.member.VM, m.trace)
		}
		delete(m.roster, e.Member.VM)
	}
}

func (m *registrationModel) step() {
	m.now = m.now.Add(modelStep)
	for _, a := range m.vms {
		for _, b := range m.vms {
			if a != b && m.hears(a, b) {
				b.fleet.RecordHeartbeat(m.now, m.heartbeat(a, b), a.fleet.Reachable(m.now, b.member.VM))
				answer := m.heartbeat(b, a)
				answer.ContactAge = 0
				a.fleet.RecordHeartbeat(m.now, answer, true)
			}
		}
	}
	for i, vm := range m.vms {
		if !vm.alive {
			continue
		}
		if m.now.UnixMilli()/100%13 == int64(i)%13 || !vm.records {
			m.register(vm)
		}
		barred := vm.records && vm.registration.MayHaveEnded(m.now, vm.fleet.Contact(m.now, vm.registration.Records()))
		if barred && !vm.barred {
			vm.barredSince = m.now
		}
		if barred != vm.barred {
			m.note("%s barred: %v", vm.member.VM, barred)
		}
		vm.barred = barred
		vm.fleet.SetBarred(barred)
		if !barred && vm.records {
			require.Contains(m.t, m.roster, vm.member.VM, "it may dispatch: %v", m.trace)
		}
		if !m.now.Before(vm.readNext) {
			m.read(vm)
		}
	}
}

func (m *registrationModel) heartbeat(from, to *modelVM) Heartbeat {
	age := time.Hour
	if !from.storeAt.IsZero() {
		age = max(m.now.Sub(from.storeAt), time.Microsecond)
	}
	return Heartbeat{
		Member: from.fleet.Self(), StoreAge: age, HearsStore: from.fleet.HearsStore(m.now),
		ContactAge: from.fleet.ContactAge(m.now, to.member.VM),
	}
}

func (m *registrationModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// lost returns how many members a VM counts as lost.
func (m *registrationModel) lost(vm *modelVM) int {
	v := vm.fleet.View(m.now, 0)
	return len(v.Lost)
}

// A VM that has gone for good counted as lost until operators removed it from the roster.
func TestVMThatIsGoneForGoodIsLostForever(t *testing.T) {
	for name, tc := range map[string]struct {
		dataCentres []string
		gone        []int
		restart     bool // of the others
		added       []string
	}{
		"one of three":                      {[]string{"a", "b", "c"}, []int{0}, false, nil},
		"all restart, it is replaced":       {[]string{"a", "b", "c"}, []int{0}, true, []string{"a"}},
		"all restart, two are replaced":     {[]string{"a", "b", "c"}, []int{0, 1}, true, []string{"a", "b"}},
		"two of three, not replaced":        {[]string{"a", "b", "c"}, []int{0, 2}, true, nil},
		"one of a data centre of two":       {[]string{"a", "a", "b", "b"}, []int{1}, false, nil},
		"one of each data centre":           {[]string{"a", "a", "b", "b"}, []int{0, 3}, true, nil},
		"one of a data centre of three":     {[]string{"a", "a", "a"}, []int{2}, true, nil},
		"all but one, in data centres of 1": {[]string{"a", "b", "c", "d", "e", "f"}, []int{0, 1, 2, 3, 4}, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			m := newRegistrationModel(t, tc.dataCentres...)
			for _, vm := range m.vms {
				vm.alive = false
			}
			m.run(1200 * time.Millisecond)
			var last *modelVM
			for i, vm := range m.vms {
				gone := false
				for _, g := range tc.gone {
					gone = gone || g == i
				}
				switch {
				case gone:
				case tc.restart:
					m.start(vm)
					last = vm
				default:
					vm.alive, last = true, vm
				}
			}
			for _, dc := range tc.added {
				m.add(dc)
			}
			m.run(12 * time.Second)
			require.Zero(t, m.lost(last), "%v", m.trace)
			require.False(t, last.barred)
		})
	}
}

// What the pages ask of a data centre that is cut off from the others and from the store: it goes on.
// The others may not take it for gone meanwhile.
func TestDataCentreThatIsCutOffIsRemoved(t *testing.T) {
	m := newRegistrationModel(t, "a", "a", "b", "b")
	for _, vm := range m.vms[:2] {
		vm.group, vm.store = 1, false
	}
	m.run(2 * time.Minute)
	m.start(m.vms[1]) // it has never had the store
	m.run(3 * time.Minute)
	require.Contains(t, m.roster, "vm0")
	require.False(t, m.vms[0].barred)
	require.Equal(t, 2, m.lost(m.vms[2]))
	m.run(11 * time.Minute)
	require.NotContains(t, m.roster, "vm0", "for good")
	require.Zero(t, m.lost(m.vms[2]))
	require.True(t, m.vms[0].barred)
}

// During an outage of the store nobody can remove a VM, so that all go on while they hear each other.
func TestStoreOutageBarsVMs(t *testing.T) {
	m := newRegistrationModel(t, "a", "b", "c")
	for _, vm := range m.vms {
		vm.store = false
	}
	m.run(time.Minute)
	m.vms[0].group = 1
	m.run(4 * time.Second)
	m.vms[0].group = 0
	m.run(time.Minute)
	for _, vm := range m.vms {
		require.False(t, vm.barred, "%v", m.trace)
	}
	// After a longer loss, they go on once they hear each other again, since the store has answered nobody.
	m.vms[0].group = 1
	m.run(8 * time.Second)
	require.True(t, m.vms[0].barred)
	m.vms[0].group = 0
	m.run(time.Second)
	for _, vm := range m.vms {
		require.False(t, vm.barred, "%v", m.trace)
	}
}

// A VM that the store refuses while the others hear it is not removed, and one that was removed does not
// dispatch before it has registered again, whoever hears it.
func TestRemovedVMDispatches(t *testing.T) {
	m := newRegistrationModel(t, "a", "b", "c")
	m.vms[0].store = false
	m.run(time.Minute)
	require.Contains(t, m.roster, "vm0")
	require.False(t, m.vms[0].barred)
	m.vms[0].group = 1
	m.run(20 * time.Second)
	require.NotContains(t, m.roster, "vm0", "%v", m.trace)
	m.vms[0].group = 0
	m.run(20 * time.Second)
	require.True(t, m.vms[0].barred, "%v", m.trace)
	require.Negative(t, compareRank(m.vms[1].fleet.Self(), m.vms[0].fleet.Self()))
	m.vms[0].alive = false // for good, and it is on the roster no longer
	m.run(20 * time.Second)
	require.Zero(t, m.lost(m.vms[1]), "%v", m.trace)
}

// A VM that registers again without hearing the others counts as lost again.
func TestVMThatRegistersAgainCountsAsGone(t *testing.T) {
	m := newRegistrationModel(t, "a", "b", "c")
	m.vms[0].store, m.vms[0].group = false, 1
	m.run(20 * time.Second)
	require.Zero(t, m.lost(m.vms[1]))
	m.vms[0].store = true
	m.run(3 * time.Second)
	require.False(t, m.vms[0].barred)
	require.Equal(t, 1, m.lost(m.vms[1]), "%v", m.trace)
}

// The platform removes the entry of a VM that the others do not hear, and goes on renewing its lease.
func TestVMWithoutEntryRenewsItsRegistration(t *testing.T) {
	m := newRegistrationModel(t, "a", "b", "c")
	m.members["vm0"], m.vms[0].group = false, 1
	m.run(30 * time.Second)
	require.False(t, m.vms[0].barred)
	require.Contains(t, m.roster, "vm0", "%v", m.trace)
	require.Equal(t, 1, m.lost(m.vms[1]))
}

// A member of an older release does not stop by itself.
func TestEntryOfOlderReleaseIsRemoved(t *testing.T) {
	m := newRegistrationModel(t, "a", "b", "c")
	e := m.roster["vm0"]
	e.Removable = false
	m.roster["vm0"], m.vms[0].alive = e, false
	m.run(time.Minute)
	require.Contains(t, m.roster, "vm0")
}

// Splits, bridges between their groups, losses of the store, restarts, joins and losses for good, in
// any order: no process is removed that may still dispatch.
func TestRemovalOfVMThatDispatches(t *testing.T) {
	removed := 0
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 53))
		var dataCentres []string
		for range 3 + r.IntN(4) {
			dataCentres = append(dataCentres, string(rune('a'+r.IntN(3))))
		}
		m := newRegistrationModel(t, dataCentres...)
		for range 40 {
			vm := m.vms[r.IntN(len(m.vms))]
			switch r.IntN(10) {
			case 0, 1:
				vm.group = r.IntN(3)
			case 2:
				vm.bridge = r.IntN(4) - 1
			case 3, 4:
				vm.store = r.IntN(2) == 0
			case 5:
				vm.alive = false
			case 6:
				m.start(vm)
			case 7:
				for _, other := range m.vms {
					other.group, other.bridge = other.group*r.IntN(2), -1
				}
			case 8:
				if len(m.vms) < 9 {
					m.add(dataCentres[0]).group = r.IntN(3)
				}
			case 9: // the platform removes the entry, and keeps the lease
				m.members[vm.member.VM] = false
			}
			before := len(m.roster)
			m.run(time.Duration(r.IntN(14_000)) * time.Millisecond)
			removed += max(before-len(m.roster), 0)
		}
	}
	require.NotZero(t, removed)
}
