package panics

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecoverLogsAndReports(t *testing.T) {
	var log bytes.Buffer
	var reported error
	serve := func(fail bool) {
		defer Recover(slog.New(slog.NewTextHandler(&log, nil)), func(err error) { reported = err }, slog.String("peer", "vm1"))
		if fail {
			panic("index out of range")
		}
	}
	serve(false)
	require.NoError(t, reported)
	require.Empty(t, log.String())
	serve(true)
	require.ErrorContains(t, reported, "index out of range")
	require.Contains(t, log.String(), "peer=vm1")
	require.Contains(t, log.String(), "panics_test.go", "the stack shows where the panic occurred")
}
