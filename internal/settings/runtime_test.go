package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOverride(t *testing.T) {
	var base DaemonProgram
	base.Jobs.MaxTasks = 130
	base.Network.VM = "vm1"
	for name, c := range map[string]struct {
		values map[string]string
		tasks  int
		fails  string
	}{
		"a good value":                {map[string]string{"max-tasks": "50"}, 50, ""},
		"no number":                   {map[string]string{"max-tasks": "x"}, 130, "max-tasks"},
		"outside the bounds":          {map[string]string{"max-tasks": "0"}, 130, "below the minimum"},
		"not while running":           {map[string]string{"vm": "vm2"}, 130, "cannot change"},
		"unknown":                     {map[string]string{"nothing": "1"}, 130, "cannot change"},
		"a bad one beside a good one": {map[string]string{"max-tasks": "50", "nothing": "1"}, 50, "nothing"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Override(base, c.values)
			require.Equal(t, c.tasks, got.Jobs.MaxTasks)
			require.Equal(t, "vm1", got.Network.VM)
			if c.fails == "" {
				require.NoError(t, err)
			} else {
				require.ErrorContains(t, err, c.fails)
			}
		})
	}
}
