package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/stretchr/testify/require"
)

// failingWriter fails while broken, after it has written some bytes.
type failingWriter struct {
	broken  bool
	partial int
	bytes.Buffer
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if !w.broken {
		return w.Buffer.Write(b)
	}
	n, _ := w.Buffer.Write(b[:min(w.partial, len(b))])
	return n, errors.New("no space left")
}

// A write that fails loses its lines. The next one that succeeds tells how many.
func TestLinesOfFailedWriteAreLostInSilence(t *testing.T) {
	for name, partial := range map[string]int{"nothing written": 0, "part of a line written": 10} {
		t.Run(name, func(t *testing.T) {
			w := &failingWriter{partial: partial}
			logger, flush := New(settings.Logging{Level: "info", Format: "json"}, w)
			logger.Info("first")
			flush()
			w.broken = true
			for range 5 {
				logger.Info("lost")
			}
			flush()
			w.broken = false
			logger.Info("last")
			flush()
			var lost float64
			whole := 0
			for line := range strings.Lines(w.String()) {
				if !strings.HasPrefix(line, "{") || !strings.HasSuffix(line, "}\n") {
					continue // a line that was written in part
				}
				for _, l := range decodeLines(t, strings.NewReader(line)) {
					if l["msg"] == "log lines lost, a write has failed" {
						lost += l["lines"].(float64)
					} else {
						whole++
					}
				}
			}
			require.EqualValues(t, 5, lost)
			require.Equal(t, 2, whole)
			counts := CountsOf(logger.With("vm", "vm0"))
			require.EqualValues(t, 2, counts.Written.Load())
			require.EqualValues(t, 5, counts.Failed.Load())
		})
	}
}
