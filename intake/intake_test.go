package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1_700_000_000, 0)

func TestJobSucceedsWithItsLastTask(t *testing.T) {
	table := New[string]()
	j, request := table.AddOrJoin(now, "a", "spec", 2)
	require.Equal(t, 1, request)
	_, request = table.AddOrJoin(now, "a", "spec", 2)
	require.Equal(t, 2, request, "the same job in progress is joined")
	offer, ok := table.Assign(j, "vm1", 7)
	require.True(t, ok)
	require.Equal(t, []int{0, 1}, offer.Tasks)
	require.False(t, offer.Resumed)
	_, ok = table.Assign(j, "vm1", 7)
	require.False(t, ok, "already assigned to that dispatcher")
	table.CompleteTask("a", 1, nil)
	table.CompleteTask("a", 1, nil)
	offer, ok = table.Assign(j, "vm2", 8)
	require.True(t, ok)
	require.Equal(t, []int{0}, offer.Tasks)
	require.True(t, offer.Resumed)
	table.CompleteTask("a", 0, nil)
	<-j.Done()
	answer, _ := table.Answer(j)
	require.Equal(t, Succeeded, answer.Outcome)
	require.Zero(t, table.Len())
}

func TestNotRunOnlyIfNothingMayHaveStarted(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*Table[string], *Job[string])
		want Outcome
	}{
		{"never offered", func(*Table[string], *Job[string]) {}, NotRun},
		{"refused for certain", func(table *Table[string], j *Job[string]) {
			offer, _ := table.Assign(j, "vm1", 7)
			table.Unassign(offer, "vm1", 7, true)
		}, NotRun},
		// An expired job may be offered between the check whether it was and its answer.
		{"offered", func(table *Table[string], j *Job[string]) { table.Assign(j, "vm1", 7) }, Abandoned},
		{"an offer without an answer", func(table *Table[string], j *Job[string]) {
			offer, _ := table.Assign(j, "vm1", 7)
			table.Unassign(offer, "vm1", 7, false)
		}, Abandoned},
		{"refused after an offer without an answer", func(table *Table[string], j *Job[string]) {
			offer, _ := table.Assign(j, "vm1", 7)
			table.Unassign(offer, "vm1", 7, false)
			offer, _ = table.Assign(j, "vm2", 8)
			table.Unassign(offer, "vm2", 8, true)
		}, Abandoned},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New[string]()
			j, _ := table.AddOrJoin(now, "a", "spec", 1)
			c.do(table, j)
			table.Finish("a", j.Submission, Answer{Outcome: NotRun})
			answer, _ := table.Answer(j)
			require.Equal(t, c.want, answer.Outcome)
		})
	}
}

func TestLastRequestAbandonsJob(t *testing.T) {
	table := New[string]()
	j, first := table.AddOrJoin(now, "a", "spec", 1)
	_, second := table.AddOrJoin(now, "a", "spec", 1)
	table.Assign(j, "vm1", 7)
	_, _, ended := table.EndRequest(j, first)
	require.False(t, ended)
	vm, term, ended := table.EndRequest(j, second)
	require.True(t, ended)
	require.Equal(t, "vm1", vm)
	require.EqualValues(t, 7, term)
	<-j.Done()
}

// A caller that has lost its connection sends the job again. That the earlier request is not
// known to have ended must not keep the job when the later one ends.
func TestEarlierRequestKeepsJob(t *testing.T) {
	table := New[string]()
	j, first := table.AddOrJoin(now, "a", "spec", 1)
	_, second := table.AddOrJoin(now, "a", "spec", 1)
	table.Assign(j, "vm1", 7)
	vm, term, ended := table.EndRequest(j, second)
	require.True(t, ended)
	require.Equal(t, "vm1", vm)
	require.EqualValues(t, 7, term)
	_, _, ended = table.EndRequest(j, first)
	require.False(t, ended, "it has ended")
}

// A dispatcher that has not answered an offer may have the job.
func TestDispatcherThatMayHaveJobIsForgotten(t *testing.T) {
	for name, end := range map[string]func(*Table[string], *Job[string]) (string, uint64, bool){
		"answered": func(table *Table[string], j *Job[string]) (string, uint64, bool) {
			return table.Finish("a", j.Submission, Answer{Outcome: Abandoned})
		},
		"cancelled": func(table *Table[string], j *Job[string]) (string, uint64, bool) { return table.EndRequest(j, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			table := New[string]()
			j, _ := table.AddOrJoin(now, "a", "spec", 1)
			offer, _ := table.Assign(j, "vm1", 7)
			table.Unassign(offer, "vm1", 7, false)
			offer, _ = table.Assign(j, "vm2", 8)
			table.Unassign(offer, "vm2", 8, true)
			vm, term, ended := end(table, j)
			require.True(t, ended)
			require.Equal(t, "vm1", vm, "vm2 has refused the job")
			require.EqualValues(t, 7, term)
		})
	}
}

func TestJobsOfAnotherDispatcherAreUnassigned(t *testing.T) {
	table := New[string]()
	a, _ := table.AddOrJoin(now, "a", "spec", 1)
	b, _ := table.AddOrJoin(now, "b", "spec", 1)
	table.Assign(a, "vm1", 7)
	table.Assign(b, "vm1", 8)
	require.Equal(t, []*Job[string]{a}, table.Unassigned("vm1", 8))
}

// A late answer from a former dispatcher must not finish a job that has been
// assigned to another dispatcher since.
func TestFormerDispatcherCannotFinishJob(t *testing.T) {
	table := New[string]()
	j, _ := table.AddOrJoin(now, "a", "spec", 1)
	table.Assign(j, "vm1", 7)
	table.Assign(j, "vm2", 8)
	table.FinishBy("a", j.Submission, "vm1", 7, Answer{Outcome: NotRun})
	require.Equal(t, 1, table.Len())
	table.FinishBy("a", j.Submission, "vm2", 8, Answer{Outcome: NotRun})
	require.Zero(t, table.Len())
}
