package logging

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// messages returns the lines of a log without their times, in order.
func messages(t *testing.T, log *bytes.Buffer) []map[string]any {
	lines := decodeLines(t, log)
	for _, line := range lines {
		delete(line, "time")
	}
	return lines
}

// A lost member is named once, and so is the reason why it no longer counts.
func TestLossNamesNoMember(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	l := NewLossLog(logger)
	now := time.Unix(1_700_000_000, 0)
	lost := fleet.LostMember{VM: "vm2", Incarnation: 102, HeardAt: now.Add(-400 * time.Millisecond), Listed: true}
	never := fleet.LostMember{VM: "vm3", Incarnation: 103, Reason: fleet.LossNeverHeard}
	why := func(m fleet.LostMember) fleet.LossEnd {
		require.Equal(t, lost, m)
		return fleet.LossEndForgotten
	}
	for range 100 { // polls of the view
		l.Observe(now, []fleet.LostMember{lost}, why)
	}
	time.Sleep(time.Millisecond) // for sorting
	l.Observe(now.Add(time.Second), []fleet.LostMember{lost, never}, why)
	time.Sleep(time.Millisecond)
	l.Observe(now.Add(2*time.Second), []fleet.LostMember{never}, why)
	flush()
	require.Equal(t, []map[string]any{
		{"level": "WARN", "msg": "member lost", "member": "vm2", "why": "not heard", "unheard_ms": 400.0, "listed": true, "incarnation": 102.0},
		{"level": "INFO", "msg": "member lost", "member": "vm3", "why": "never heard", "listed": false, "incarnation": 103.0},
		{"level": "INFO", "msg": "member no longer counts as lost", "member": "vm2", "why": "forgotten", "lost_ms": 2000.0, "incarnation": 102.0},
	}, messages(t, &log))
	require.Equal(t, fleet.LossEndForgotten, l.WorstEnd())
}

// The weakest evidence of a loss is kept until the next one begins.
func TestOneForgottenMemberIsHiddenByOthers(t *testing.T) {
	var log bytes.Buffer
	logger, _ := New(settings.Logging{Level: "info", Format: "json"}, &log)
	l := NewLossLog(logger)
	now := time.Unix(1_700_000_000, 0)
	a, b := fleet.LostMember{VM: "a"}, fleet.LostMember{VM: "b"}
	as := func(end fleet.LossEnd) func(fleet.LostMember) fleet.LossEnd {
		return func(fleet.LostMember) fleet.LossEnd { return end }
	}
	l.Observe(now, []fleet.LostMember{a, b}, nil)
	l.Observe(now, []fleet.LostMember{b}, as(fleet.LossEndForgotten))
	l.Observe(now, nil, as(fleet.LossEndHeard))
	require.Equal(t, fleet.LossEndForgotten, l.WorstEnd())
	l.Observe(now, []fleet.LostMember{a}, nil)
	l.Observe(now, nil, as(fleet.LossEndHeard))
	require.Equal(t, fleet.LossEndHeard, l.WorstEnd())
}

// A large fleet that is cut in two does not flood the log, and the changes without a line are
// counted.
func TestLossesOfLargeFleetFloodLog(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	l := NewLossLog(logger)
	now := time.Unix(1_700_000_000, 0)
	var lost []fleet.LostMember
	for i := range 300 {
		lost = append(lost, fleet.LostMember{VM: fmt.Sprintf("vm%d", i)})
	}
	l.Observe(now, lost, nil)
	l.Observe(now.Add(lossWindow), lost, nil)
	flush()
	lines := messages(t, &log)
	require.Len(t, lines, maxLossLines+1)
	for _, line := range lines {
		if line["msg"] == "further members were lost or no longer count" {
			require.EqualValues(t, 300-maxLossLines, line["changes"])
			require.EqualValues(t, 300, line["lost"])
			return
		}
	}
	t.Error("the changes without a line are not counted")
}

// A line of a split tells who is lost and what is lacking; the one of its end tells why.
func TestSplitIsLoggedWithoutReason(t *testing.T) {
	confirmed := scheduler.SplitReport{
		Token: 7, Suspected: true, Confirmed: true, PeerLoss: scheduler.PeerLost, Unlisted: 5,
		Lacking: scheduler.Lacking{Fenced: 1, Unclaimed: 2, Failing: 3, Silent: 4, Partial: true},
	}
	lost := []fleet.LostMember{{VM: "vm2"}, {VM: "vm3"}}
	for name, c := range map[string]struct {
		after   scheduler.SplitReport
		lost    []fleet.LostMember
		lossEnd fleet.LossEnd
		end     scheduler.SplitEnd
		members any
	}{
		"heard again":   {scheduler.SplitReport{Token: 7, Lacking: confirmed.Lacking}, nil, fleet.LossEndHeard, scheduler.SplitEndNoneLost, "heard again"},
		"forgotten":     {scheduler.SplitReport{Token: 7, Lacking: confirmed.Lacking}, nil, fleet.LossEndForgotten, scheduler.SplitEndNoneLost, "forgotten"},
		"held":          {scheduler.SplitReport{Token: 7, PeerLoss: scheduler.PeerLost}, lost, fleet.LossEndHeard, scheduler.SplitEndAllHeld, nil},
		"new term":      {scheduler.SplitReport{Token: 8, PeerLoss: scheduler.PeerLost}, lost, fleet.LossEndHeard, scheduler.SplitEndNewTerm, nil},
		"term over":     {scheduler.SplitReport{}, lost, fleet.LossEndHeard, scheduler.SplitEndTermOver, nil},
		"still suspect": {scheduler.SplitReport{Token: 7, Suspected: true, PeerLoss: scheduler.PeerSilent, Lacking: confirmed.Lacking}, nil, fleet.LossEndReplaced, scheduler.SplitEndNoneLost, "later process"},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
			l := NewSplitLog(logger)
			now := time.Unix(1_700_000_000, 0)
			former := confirmed
			former.Token--
			for i := range 10 { // ticks, the first ones in the term before
				report := confirmed
				if i < 5 {
					report = former
				}
				_, ended := l.Observe(now, report, lost, fleet.LossEndHeard)
				require.False(t, ended)
			}
			time.Sleep(time.Millisecond) // for sorting
			end, ended := l.Observe(now.Add(time.Second), c.after, c.lost, c.lossEnd)
			require.True(t, ended)
			require.Equal(t, c.end, end)
			_, ended = l.Observe(now.Add(time.Second), c.after, c.lost, c.lossEnd)
			require.False(t, ended)
			flush()
			lines := messages(t, &log)
			require.Len(t, lines, 2)
			require.Equal(t, map[string]any{
				"level": "WARN", "msg": "split: other VMs may dispatch", "lost": 2.0, "fenced": 1.0, "silent": 4.0, "failing": 3.0, "unclaimed": 2.0, "unlisted": 5.0,
				"partial": true, "members": "vm2 vm3",
			}, lines[0])
			require.Equal(t, "the split is over", lines[1]["msg"])
			require.Equal(t, c.end.String(), lines[1]["why"])
			require.Equal(t, c.members, lines[1]["members"])
			require.EqualValues(t, 1000, lines[1]["after_ms"])
		})
	}
}
