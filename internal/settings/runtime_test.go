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
		"valid value":               {map[string]string{"max-tasks": "50"}, 50, ""},
		"not a number":              {map[string]string{"max-tasks": "x"}, 130, "max-tasks"},
		"out of bounds":             {map[string]string{"max-tasks": "0"}, 130, "below the minimum"},
		"not changeable at runtime": {map[string]string{"vm": "vm2"}, 130, "cannot change"},
		"unknown setting":           {map[string]string{"nothing": "1"}, 130, "cannot change"},
		"one valid, one invalid":    {map[string]string{"max-tasks": "50", "nothing": "1"}, 50, "nothing"},
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
