package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The next dispatcher must know where tasks have completed, and that it is unknown of a task whose
// dispatcher did not tell.
func TestNextDispatcherLearnsWhereTasksHaveCompleted(t *testing.T) {
	table := New[string]()
	j, _ := table.AddOrJoin(time.Unix(1000, 0), "a", "", 3)
	first, _ := table.Assign(j, "vm1", 1)
	require.Empty(t, first.Completed)
	table.NoteCompletedOn("a", 0, "u1")
	table.CompleteTask("a", 0, nil)
	table.NoteCompletedOn("a", 0, "u2") // a late report of another dispatcher
	table.CompleteTask("a", 2, nil)
	second, _ := table.Assign(j, "vm2", 2)
	require.Equal(t, map[int]string{0: "u1", 2: ""}, second.Completed)
	require.Equal(t, []int{1}, second.Tasks)
}
