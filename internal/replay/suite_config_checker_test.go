package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var logStart = time.Unix(1_000, 0).UTC()

func logLine(ms int, message string, revision int64) string {
	at := logStart.Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf(`{"time":%q,"msg":%q,"revision":%d}`+"\n", at.Format(time.RFC3339Nano), message, revision)
}

func TestCountReverts(t *testing.T) {
	for name, c := range map[string]struct {
		log  string
		want int
	}{
		"forward": {logLine(0, messageServing, 0) + logLine(1, messageTaken, 3) + logLine(2, messageInForce, 4), 0},
		"back":    {logLine(1, messageTaken, 3) + logLine(2, messageInForce, 2), 1},
		"back after a restart": {logLine(1, messageTaken, 3) + logLine(2, messageInForce, 4) +
			logLine(3, messageServing, 0) + logLine(4, messageTaken, 3), 1},
		"older revision before configuration taken": {logLine(1, messageTaken, 3) + logLine(2, messageServing, 0) +
			logLine(3, messageInForce, 2) + logLine(4, messageTaken, 3), 0},
		"lines out of order": {logLine(1, messageTaken, 3) + logLine(3, messageInForce, 5) + logLine(2, messageInForce, 4), 0},
		"truncated line":     {logLine(1, messageTaken, 3) + `{"time":"20`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, countReverts([][]observation{parseObservations([]byte(c.log))}))
		})
	}
}

func TestPropagationTimesCountTheLastVM(t *testing.T) {
	logs := [][]observation{
		parseObservations([]byte(logLine(0, messageTaken, 1) + logLine(10, messageInForce, 2))),
		parseObservations([]byte(logLine(0, messageTaken, 1) + logLine(40, messageInForce, 3))),
		// This VM restarts in between and does not extend the time.
		parseObservations([]byte(logLine(0, messageTaken, 1) + logLine(11, messageServing, 0) + logLine(500, messageTaken, 3))),
	}
	accepted := []acceptedChange{{revision: 2, at: logStart.Add(20 * time.Millisecond)}}
	p50, p99 := propagationTimes(accepted, logs)
	require.InDelta(t, 30, p50, 0.001, "from the first VM with the change to the last")
	require.InDelta(t, 30, p99, 0.001)
}
