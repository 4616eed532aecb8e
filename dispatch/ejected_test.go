package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEjectedNamesWhoFails(t *testing.T) {
	d := newTest(1000, 8, 8, 8, 8)
	require.Empty(t, d.Ejected())
	bad := map[string]bool{"u0": true, "u1": true, "u2": true, "u3": true}
	serve(t, d, 100, bad)
	ejected := d.Ejected()
	require.Len(t, ejected, d.pool("s").outlook.Load().ejected)
	require.NotEmpty(t, ejected)
	for _, name := range ejected {
		require.True(t, bad[name], name)
	}
}
