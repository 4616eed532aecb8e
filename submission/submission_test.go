package submission

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

var startTime = time.Unix(1000, 0)

func record(key string) Record {
	return Record{ID: ID{"caller", key}, Digest: 1, Starter: 7, Expires: startTime.Add(time.Hour)}
}

func TestEvictedAnswerKeepsKey(t *testing.T) {
	table := NewTable(shardCount * 2000)
	_, e, _ := table.Begin(startTime, record("k"))
	table.Finish(e, Outcome{Results: [][]byte{make([]byte, 4000)}})
	action, e, _ := table.Begin(startTime, record("k"))
	require.Equal(t, Wait, action)
	require.Equal(t, verdict.Ran, e.Outcome().Failure.Verdict)
	require.Equal(t, verdict.CodeExpired, e.Outcome().Failure.Code)
}

func TestFullTableKeepsEntries(t *testing.T) {
	table := NewTable(shardCount * 1000)
	var kept []string
	refused := 0
	for i := range 2000 {
		key := fmt.Sprint(i)
		if action, _, _ := table.Begin(startTime, record(key)); action == Start {
			kept = append(kept, key)
		} else {
			require.Equal(t, Full, action)
			refused++
		}
	}
	require.Positive(t, refused)
	for _, key := range kept {
		action, _, _ := table.Begin(startTime, record(key))
		require.Equal(t, Wait, action)
	}
	require.False(t, table.StoreRecord(startTime, record("another")) && table.Bytes() > shardCount*1000)
}

func TestFinishEntryKept(t *testing.T) {
	cases := []struct {
		name    string
		failure *verdict.Error
		again   Action
	}{
		{"cancelled", verdict.Errorf(verdict.NotRun, verdict.CodeCancelled, ""), Wait},
		{"failed", verdict.Errorf(verdict.Ran, verdict.CodeUpstreamFailed, ""), Wait},
		{"refused", verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded, ""), Start},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(1 << 20)
			_, e, _ := table.Begin(startTime, record("k"))
			table.Finish(e, Outcome{Failure: c.failure})
			action, _, _ := table.Begin(startTime, record("k"))
			require.Equal(t, c.again, action)
		})
	}
}

func TestRetentionExpiry(t *testing.T) {
	table := NewTable(1 << 20)
	_, e, _ := table.Begin(startTime, record("own"))
	table.Finish(e, Outcome{})
	_, running, _ := table.Begin(startTime, record("running"))
	require.NotNil(t, running)
	require.True(t, table.StoreRecord(startTime, record("foreign")))
	later := startTime.Add(2 * time.Hour)
	for key, expected := range map[string]Action{"own": Start, "foreign": Start, "running": Wait} {
		action, _, _ := table.Begin(later, record(key))
		require.Equal(t, expected, action, key)
	}
}

func TestDropContestedRecord(t *testing.T) {
	table := NewTable(1 << 20)
	require.True(t, table.StoreRecord(startTime, record("k")))
	other := record("k")
	other.Starter = 8
	require.True(t, table.StoreRecord(startTime, other))
	require.False(t, table.DropRecord(other.ID, 8), "the record is contested")
}
