package ownership

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// TestJoinAfterLastMemberTerminated terminates every member after one of them
// has sent a transfer but before the join completes. What they started after the
// transfer is unknown, so the new member must answer MayHaveRun.
func TestJoinAfterLastMemberTerminated(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(vm string) membership.Member {
		return membership.Member{VM: vm, Incarnation: 1, DataCentre: "a", Address: vm}
	}
	n := New(now, Config{
		Membership: membership.Config{
			Self: member("a1"), Interval: interval, Fence: fence, Retention: retention, RefusalProof: true,
		},
		JoinTimeout: time.Hour, Budget: 1 << 20, Fanout: 3,
	})
	a2, a3 := member("a2"), member("a3")
	n.Membership().MarkReachable(now, a2)
	n.Membership().MarkReachable(now, a3)
	n.HandleJoinReply(now, a2, &JoinReply{From: a2, Accepted: true})
	n.HandleTransfer(now, &Transfer{From: a2, To: n.View().Self.ID(), Admitted: true, Last: true})
	require.False(t, n.Ready(), "a3 has not acknowledged")
	now = now.Add(fence / 2)
	n.Membership().ConnectionRefused(now, a2)
	n.Membership().ConnectionRefused(now, a3)
	n.DueActions(now)
	require.True(t, n.NeedsHistory())
	n.SetHistory(HistoryNone)
	n.DueActions(now)
	require.True(t, n.Ready())
	step := n.Begin(now, Call{ID: submission.ID{Caller: "x", Key: "k"}, Digest: 1, Expires: now.Add(retention)})
	require.Equal(t, Answer, step.Kind)
	require.Equal(t, verdict.MayHaveRun, step.Outcome.Failure.Verdict)
	require.Equal(t, verdict.CodeUncovered, step.Outcome.Failure.Code)
}

// TestAdmissionAnnouncedToAllDataCentres checks that the only member of a data centre
// announces its admission everywhere. Members of other data centres forward calls
// to it only once they know that it is admitted.
func TestAdmissionAnnouncedToAllDataCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(now, Config{
		Membership: membership.Config{
			Self:        membership.Member{VM: "a1", Incarnation: 1, DataCentre: "a", Address: "a1"},
			DataCentres: []string{"a", "b"}, Interval: interval, Fence: fence, Retention: retention,
		},
		JoinTimeout: time.Hour, Budget: 1 << 20, Fanout: 3,
	})
	elsewhere := membership.Member{VM: "b1", Incarnation: 1, DataCentre: "b", Address: "b1"}
	n.Membership().MarkReachable(now, elsewhere)
	n.SetHistory(HistoryNone)
	require.Contains(t, n.DueActions(now), Action{Kind: SendHeartbeat, To: elsewhere})
	require.True(t, n.Ready())
	require.Empty(t, n.DueActions(now), "the admission is announced once")
}
