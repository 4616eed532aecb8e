package catalog

import (
	"testing"

	"github.com/mustardstep/mustardstep/examples"
	"github.com/stretchr/testify/require"
)

func TestSplitJoinRoundTrip(t *testing.T) {
	parts, err := Split(examples.RotaDesk)
	require.NoError(t, err)
	whole, err := Parse(examples.RotaDesk)
	require.NoError(t, err)
	again, err := Split(Join(parts))
	require.NoError(t, err)
	require.Equal(t, parts, again)
	var calls []*Call
	for _, part := range parts {
		call, err := ParsePart(part)
		require.NoError(t, err)
		calls = append(calls, call)
		want := whole.Lookup(part.Service, part.Call)
		require.NotNil(t, want)
		require.Equal(t, want.Deadline, call.Deadline)
		require.Equal(t, want.ForEach, call.ForEach)
	}
	require.Len(t, FromCalls(calls).Services(), len(whole.Services()))
}

func TestSplitReportsAllProblems(t *testing.T) {
	_, err := Split([]byte("version: 1\nservices:\n  a:\n    calls:\n      b:\n        idempotent: 7\n        tasks: {count: 0}\n"))
	problems, ok := err.(Problems)
	require.True(t, ok)
	require.Greater(t, len(problems), 1)
}

func TestParsePartLineNumbers(t *testing.T) {
	_, err := ParsePart(Part{"a", "b", "idempotent: true\ntasks:\n  count: x\n"})
	problems, ok := err.(Problems)
	require.True(t, ok)
	require.Equal(t, 3, problems[0].Line)
}

// TestParsePartStaysWithinItsCall checks that the text of a part cannot add fields
// outside its call.
func TestParsePartStaysWithinItsCall(t *testing.T) {
	for _, text := range []string{"", "x", "idempotent: true\ntasks: {count: 1}\n---\nversion: 1", "}{"} {
		_, err := ParsePart(Part{"a", "b", text})
		require.Error(t, err, text)
	}
}
