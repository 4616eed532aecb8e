package command

import (
	"context"
	"flag"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

// execute runs a command as a program does and returns its exit status and its
// standard error.
func execute(t *testing.T, c subcommands.Command, args ...string) (subcommands.ExitStatus, string) {
	path := filepath.Join(t.TempDir(), "stderr")
	stderr, err := os.Create(path)
	require.NoError(t, err)
	previous := os.Stderr
	os.Stderr = stderr
	defer func() { os.Stderr = previous }()
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	flags.SetOutput(stderr)
	c.SetFlags(flags)
	status := subcommands.ExitUsageError
	if flags.Parse(args) == nil {
		status = c.Execute(context.Background(), flags)
	}
	require.NoError(t, stderr.Close())
	written, err := os.ReadFile(path)
	require.NoError(t, err)
	return status, string(written)
}

// check must not listen on the configured addresses or start goroutines.
func TestCheckHasNoSideEffects(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	before := runtime.NumGoroutine()
	status, written := execute(t, Check(), "-vm", "vm0", "-data-centre", "dc1",
		"-http-listen", taken.Addr().String(), "-peer-listen", taken.Addr().String(), "-platform", taken.Addr().String())
	require.Equal(t, subcommands.ExitSuccess, status, written)
	require.LessOrEqual(t, runtime.NumGoroutine(), before)
}

func TestCheck(t *testing.T) {
	services := filepath.Join(t.TempDir(), "services.yaml")
	require.NoError(t, os.WriteFile(services, []byte("version: 2\nservices: {}\n"), 0o644))
	tests := []struct {
		name   string
		args   []string
		status subcommands.ExitStatus
		errors []string
	}{
		{"valid", []string{"-vm", "vm0", "-data-centre", "dc1"}, subcommands.ExitSuccess, nil},
		{"missing and out of bounds", []string{"-max-tasks", "0", "-log-level", "loud"}, subcommands.ExitUsageError,
			[]string{"-vm: required", "-data-centre: required", "-max-tasks: 0 is below", "-log-level: \"loud\" is not one of"}},
		{"bad seeds", []string{"-vm", "vm0", "-data-centre", "dc1", "-seeds", "a,b=c/d"}, subcommands.ExitUsageError,
			[]string{`-seeds: "a"`, `-seeds: "b=c/d"`}},
		{"bad services file", []string{"-vm", "vm0", "-data-centre", "dc1", "-schema-file", services}, subcommands.ExitUsageError,
			[]string{"1:10: version 2 is not supported", "2:11: expected at least one service"}},
		{"missing services file", []string{"-vm", "vm0", "-data-centre", "dc1", "-schema-file", services + "x"}, subcommands.ExitUsageError,
			[]string{"services file"}},
		{"unknown flag", []string{"-colour", "red"}, subcommands.ExitUsageError, []string{"not defined: -colour"}},
		{"argument", []string{"extra"}, subcommands.ExitUsageError, []string{`unexpected argument "extra"`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, written := execute(t, Check(), test.args...)
			require.Equal(t, test.status, status, written)
			for _, message := range test.errors {
				require.Contains(t, written, message)
			}
		})
	}
}
