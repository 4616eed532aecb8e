package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(3, 9, 0, []Queue{
		{Name: "short", Host: "a.example", Prefix: "/q/"},
		{Name: "long", Host: "A.example", Prefix: "/q/r/"},
		{Name: "other", Host: "b.example", Prefix: "/q/"},
	})
	for _, c := range []struct{ host, path, queue, rest string }{
		{"a.example", "/q/1", "short", "1"},
		{"a.example", "/q/r/1", "long", "1"},
		{"A.EXAMPLE:8080", "/q/r/", "long", ""},
		{"b.example", "/q/r/1", "other", "r/1"},
		{"c.example", "/q/1", "", ""},
		{"a.example", "/x", "", ""},
	} {
		queue, rest := table.Find(c.host, c.path)
		if c.queue == "" {
			require.Nil(t, queue, c)
			continue
		}
		require.NotNil(t, queue, c)
		require.Equal(t, c.queue, queue.Name, c)
		require.Equal(t, c.rest, rest, c)
	}
}
