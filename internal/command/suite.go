package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/mustardstep/mustardstep/internal/settings"
)

type suiteCommand struct{ base[settings.ReplayProgram] }

// Suite returns the command that runs a suite against real processes.
func Suite() subcommands.Command {
	return &suiteCommand{base[settings.ReplayProgram]{name: "suite", synopsis: "run a suite and print its report; exit 0 only if no invariant was violated"}}
}

func (c *suiteCommand) Usage() string { return "suite NAME [flags]\n  " + c.synopsis + ".\n\n" }

func (c *suiteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := c.parseSuite(f)
	if !ok {
		return subcommands.ExitUsageError
	}
	s := c.settings.Replay
	report, err := replay.RunSuite(ctx, name, replay.Options{
		Seed: int64(s.Seed), Seconds: s.Seconds, Fault: s.Fault, LogDir: s.LogDir,
		Trace: c.settings.Trace.File, Baselines: c.settings.Trace.Baselines, Deployment: c.settings.Trace.Deployment,
	})
	if report != nil {
		printReport(report, s.Output)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, replay.ErrInvariantViolated) {
			return subcommands.ExitStatus(exitViolation)
		}
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// exitViolation is the exit code of a suite or a soak with invariant violations.
const exitViolation = 3

func printReport(report any, output string) {
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	if output == "json" {
		fmt.Println(string(body))
		return
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil {
		for _, line := range sortedLines(fields) {
			fmt.Println(line)
		}
	}
}
