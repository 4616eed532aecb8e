package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var judgeStart = time.Unix(1_000, 0).UTC()

func line(ms int, message string, revision int64) string {
	at := judgeStart.Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf(`{"time":%q,"msg":%q,"revision":%d}`+"\n", at.Format(time.RFC3339Nano), message, revision)
}

func TestCountReverts(t *testing.T) {
	for name, c := range map[string]struct {
		log  string
		want int
	}{
		"forward": {line(0, messageServing, 0) + line(1, messageTaken, 3) + line(2, messageInForce, 4), 0},
		"back":    {line(1, messageTaken, 3) + line(2, messageInForce, 2), 1},
		"back after a restart": {line(1, messageTaken, 3) + line(2, messageInForce, 4) +
			line(3, messageServing, 0) + line(4, messageTaken, 3), 1},
		"older before it takes calls": {line(1, messageTaken, 3) + line(2, messageServing, 0) +
			line(3, messageInForce, 2) + line(4, messageTaken, 3), 0},
		"lines out of order": {line(1, messageTaken, 3) + line(3, messageInForce, 5) + line(2, messageInForce, 4), 0},
		"a cut line":         {line(1, messageTaken, 3) + `{"time":"20`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, countReverts([][]sighting{parseSightings([]byte(c.log))}))
		})
	}
}

func TestInForceCountsTheLastVM(t *testing.T) {
	logs := [][]sighting{
		parseSightings([]byte(line(0, messageTaken, 1) + line(10, messageInForce, 2))),
		parseSightings([]byte(line(0, messageTaken, 1) + line(40, messageInForce, 3))),
		// This one restarts in between and counts from its start.
		parseSightings([]byte(line(0, messageTaken, 1) + line(11, messageServing, 0) + line(500, messageTaken, 3))),
	}
	accepted := []acceptedChange{{revision: 2, at: judgeStart.Add(20 * time.Millisecond)}}
	p50, p99 := inForce(accepted, logs)
	require.InDelta(t, 30, p50, 0.001, "from the first VM that has it to the last")
	require.InDelta(t, 30, p99, 0.001)
}
