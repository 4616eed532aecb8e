package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/stretchr/testify/require"
)

func TestNextDispatcherGetsTheHistoriesOfAJob(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New[string]()
	j, _ := table.AddOrJoin(now, "a", "", 2)
	first, _ := table.Assign(j, "vm1", 1)
	require.Empty(t, first.Histories)
	crash := history.Task{}.AddCrash(0.5, false)
	table.MergeHistory("a", 1, crash)
	second, _ := table.Assign(j, "vm2", 2)
	require.Equal(t, map[int]history.Task{1: crash}, second.Histories)

	table.Finish("a", j.Submission, Answer{Outcome: Abandoned})
	require.Equal(t, map[string]map[int]history.Task{"a": {1: crash}}, table.EndedHistories(now))
	again, _ := table.AddOrJoin(now.Add(time.Second), "a", "", 2)
	third, _ := table.Assign(again, "vm2", 2)
	require.Equal(t, map[int]history.Task{1: crash}, third.Histories, "the caller has sent the job again")

	table.CompleteTask("a", 0, nil)
	table.CompleteTask("a", 1, nil)
	require.Empty(t, table.EndedHistories(now), "the job has succeeded")
}

// The histories of an ended job are sent while its caller may send the job again.
func TestHistoriesOfEndedJobChangeWhileTheyAreSent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New[string]()
	j, _ := table.AddOrJoin(now, "a", "", 1)
	table.MergeHistory("a", 0, history.Task{Losses: 1})
	table.Finish("a", j.Submission, Answer{Outcome: Abandoned})
	sent := table.EndedHistories(now)
	table.AddOrJoin(now, "a", "", 1)
	table.MergeHistory("a", 0, history.Task{Losses: 2})
	require.Equal(t, map[string]map[int]history.Task{"a": {0: {Losses: 1}}}, sent)
}

func TestHistoriesOfEndedJobsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New[string]()
	end := func(at time.Time, n int) {
		id := fmt.Sprint(n)
		j, _ := table.AddOrJoin(at, id, "", 1)
		table.MergeHistory(id, 0, history.Task{Losses: 1})
		table.Finish(id, j.Submission, Answer{Outcome: Abandoned})
	}
	for n := range 2 * shardCount * maxEnded {
		end(now, n)
	}
	require.LessOrEqual(t, len(table.EndedHistories(now)), shardCount*maxEnded)
	later := now.Add(history.Retention + time.Second)
	require.Empty(t, table.EndedHistories(later))
}
