package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testFence = 10 * time.Second

// member returns an incarnation of a VM. The first letter of the VM's name is its
// data centre.
func member(vm string, incarnation uint64) Member {
	return Member{VM: vm, Incarnation: incarnation, DataCentre: vm[:1], Address: vm}
}

// newTestTable returns the table of a1, which has joined and ranks a2 and a3.
func newTestTable(refusalProof bool) (*Table, time.Time) {
	now := time.Unix(1000, 0)
	t := NewTable(now, Config{
		Self: member("a1", 1), Interval: time.Second, Fence: testFence, Retention: time.Hour, RefusalProof: refusalProof,
	})
	t.MarkAdmitted(now)
	for _, vm := range []string{"a2", "a3"} {
		t.AddToRanking(now, member(vm, 1))
		t.HandleReply(now, now, &Digest{From: member(vm, 1)})
	}
	t.MarkReachable(now, member("b1", 1))
	return t, now
}

// answerHeartbeat simulates a member's answer to a heartbeat sent now.
func answerHeartbeat(t *Table, now time.Time, vm string, suspects ...ID) {
	t.HandleReply(now, now, &Digest{From: member(vm, 1), Suspects: suspects})
}

// TestProofOfTermination checks that a member is marked as terminated only by a proof,
// never by silence, a failed connection or the platform's list alone.
func TestProofOfTermination(t *testing.T) {
	a2 := member("a2", 1)
	cases := []struct {
		name           string
		noRefusalProof bool
		fault          func(t *Table, now time.Time)
		want           Proof
	}{
		{"silence alone", false, func(t *Table, now time.Time) {
			answerHeartbeat(t, now.Add(10*testFence), "a3")
			t.Tick(now.Add(10 * testFence))
		}, NotTerminated},
		{"refused", false, func(t *Table, now time.Time) { t.ConnectionRefused(now, a2) }, Refused},
		{"refused, refusal proof disabled", true, func(t *Table, now time.Time) { t.ConnectionRefused(now, a2) }, NotTerminated},
		{"unreachable", false, func(t *Table, now time.Time) { t.MarkUnreachable(a2) }, NotTerminated},
		{"listed as gone but reachable", false, func(t *Table, now time.Time) {
			t.UpdatePlatformList(nil, []string{"a2"})
			now = now.Add(testFence)
			answerHeartbeat(t, now, "a2")
			answerHeartbeat(t, now, "a3", a2.ID())
			t.Tick(now)
		}, NotTerminated},
		{"listed as gone and silent, reachable for another member", false, func(t *Table, now time.Time) {
			t.UpdatePlatformList(nil, []string{"a2"})
			now = now.Add(testFence)
			answerHeartbeat(t, now, "a3")
			t.Tick(now)
		}, NotTerminated},
		{"listed as gone and silent, report too old", false, func(t *Table, now time.Time) {
			t.UpdatePlatformList(nil, []string{"a2"})
			answerHeartbeat(t, now.Add(testFence-time.Second), "a3", a2.ID())
			t.Tick(now.Add(testFence))
		}, NotTerminated},
		{"listed as gone and silent to all", false, func(t *Table, now time.Time) {
			t.UpdatePlatformList(nil, []string{"a2"})
			now = now.Add(testFence)
			answerHeartbeat(t, now, "a3", a2.ID())
			t.Tick(now)
		}, Listed},
		{"replaced", false, func(t *Table, now time.Time) { t.MarkReachable(now, member("a2", 2)) }, Replaced},
		{"late message of an older incarnation", false, func(t *Table, now time.Time) { t.MarkReachable(now, member("a2", 0)) }, NotTerminated},
		{"left", false, func(t *Table, now time.Time) {
			t.HandleDigest(now, &Digest{From: a2, Facts: []Fact{{Member: a2, Termination: Left}}})
		}, Left},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, now := newTestTable(!c.noRefusalProof)
			c.fault(table, now)
			f, known := table.View().Fact(a2.ID())
			require.True(t, known)
			require.Equal(t, c.want, f.Termination)
		})
	}
}

// TestRefusalFromOtherDataCentreIsNoProof checks that a refused connection proves
// termination only within a data centre.
func TestRefusalFromOtherDataCentreIsNoProof(t *testing.T) {
	table, now := newTestTable(true)
	require.False(t, table.ConnectionRefused(now.Add(time.Hour), member("b1", 1)))
	require.False(t, table.View().Terminated(member("b1", 1).ID()))
}

// TestPermissionToStart checks that a process stops starting tasks when it is
// stalled, isolated or marked as terminated, and starts them again only after
// all peers have answered a heartbeat sent since.
func TestPermissionToStart(t *testing.T) {
	const half = testFence / 2
	cases := []struct {
		name  string
		fault func(t *Table, now time.Time) time.Time
		ok    bool
	}{
		{"fresh", func(t *Table, now time.Time) time.Time { return now }, true},
		{"stalled before its next tick", func(t *Table, now time.Time) time.Time { return now.Add(half) }, false},
		{"stalled, then ticked", func(t *Table, now time.Time) time.Time {
			now = now.Add(half + time.Second)
			t.Tick(now)
			return now
		}, false},
		{"stalled, answered by one peer", func(t *Table, now time.Time) time.Time {
			now = now.Add(half + time.Second)
			t.Tick(now)
			answerHeartbeat(t, now, "a2")
			return now
		}, false},
		{"stalled, answered by all peers", func(t *Table, now time.Time) time.Time {
			now = now.Add(half + time.Second)
			t.Tick(now)
			answerHeartbeat(t, now, "a2")
			answerHeartbeat(t, now, "a3")
			return now
		}, true},
		{"isolated but not stalled", func(t *Table, now time.Time) time.Time {
			for range 6 {
				now = now.Add(time.Second)
				t.Tick(now)
			}
			return now
		}, false},
		{"marked as terminated", func(t *Table, now time.Time) time.Time {
			t.MergeFacts(now, []Fact{{Member: member("a1", 1), Termination: Listed}})
			return now
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, now := newTestTable(true)
			_, ok := table.MayStartUntil(c.fault(table, now))
			require.Equal(t, c.ok, ok)
		})
	}
}
