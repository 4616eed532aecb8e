package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/mustardstep/mustardstep/internal/settings"
)

type decideCommand struct{ base[settings.ReplayProgram] }

// Decide returns the command that simulates the dispatch decisions on a trace in
// virtual time.
func Decide() subcommands.Command {
	return &decideCommand{base[settings.ReplayProgram]{name: "decide", synopsis: "simulate the dispatch decisions on the trace of a suite in virtual time, without processes"}}
}

func (c *decideCommand) Usage() string { return "decide SUITE [flags]\n  " + c.synopsis + ".\n\n" }

func (c *decideCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := c.parseSuite(f)
	if !ok {
		return subcommands.ExitUsageError
	}
	report, err := replay.Simulate(name, replay.Options{
		Seed: int64(c.settings.Replay.Seed), Seconds: c.settings.Replay.Seconds,
		Trace: c.settings.Trace.File, Baselines: c.settings.Trace.Baselines, Deployment: c.settings.Trace.Deployment,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	printReport(report, c.settings.Replay.Output)
	return subcommands.ExitSuccess
}
