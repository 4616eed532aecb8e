package command

import (
	"os"
	"os/exec"
	"testing"

	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/stretchr/testify/require"
)

// logPipeChild is set in the environment of the process that writes the log.
const logPipeChild = "MUSTARDSTEP_TEST_LOG_PIPE"

// The reader of the log may end. The process goes on and counts the lines as failed.
func TestProcessEndsWithReaderOfItsLog(t *testing.T) {
	const goesOn = 7
	if os.Getenv(logPipeChild) != "" {
		ignoreBrokenPipe()
		logger, flush := logging.New(settings.Logging{Level: "info", Format: "json"}, os.Stdout)
		logger.Info("nobody reads this")
		flush()
		if logging.CountsOf(logger).Failed.Load() == 1 {
			os.Exit(goesOn)
		}
		return
	}
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	defer writer.Close()
	child := exec.Command(os.Args[0], "-test.run=^TestProcessEndsWithReaderOfItsLog$")
	child.Env, child.Stdout = append(os.Environ(), logPipeChild+"=1"), writer
	var exit *exec.ExitError
	require.ErrorAs(t, child.Run(), &exit)
	require.Equal(t, goesOn, exit.ExitCode(), exit.String())
}
