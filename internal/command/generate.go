package command

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/mustardstep/mustardstep/internal/settings"
)

type generateCommand struct{ base[settings.ReplayProgram] }

// Generate returns the command that writes a trace to standard output.
func Generate() subcommands.Command {
	return &generateCommand{base[settings.ReplayProgram]{name: "generate", synopsis: "write the trace of a dispatch suite to standard output"}}
}

func (c *generateCommand) Usage() string { return "generate SUITE [flags]\n  " + c.synopsis + ".\n\n" }

func (c *generateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := c.parseSuite(f)
	if !ok {
		return subcommands.ExitUsageError
	}
	jobs, err := replay.GenerateSuite(name, replay.Options{
		Seed: int64(c.settings.Replay.Seed), Seconds: cmp.Or(c.settings.Replay.Seconds, replay.DefaultSeconds), Deployment: c.settings.Trace.Deployment,
	})
	if err == nil {
		err = replay.WriteTrace(os.Stdout, jobs)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
