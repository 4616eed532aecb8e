package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEjectedNamesWhoFails(t *testing.T) {
	d := newTest(1000, 8, 8, 8, 8)
	require.Empty(t, d.Ejected())
	serve(t, d, 1000, map[string]bool{"u2": true})
	require.Equal(t, []string{"u2"}, d.Ejected())
}
