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

type benchCommand struct {
	base[settings.ReplayBenchProgram]
}

// Bench returns the command that runs a benchmark on real processes.
func Bench() subcommands.Command {
	return &benchCommand{base[settings.ReplayBenchProgram]{
		name: "bench", synopsis: "measure the overhead that a daemon adds to tasks",
	}}
}

func (c *benchCommand) Usage() string { return "bench overhead [flags]\n  " + c.synopsis + ".\n\n" }

func (c *benchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.Arg(0) != "overhead" {
		fmt.Fprintln(os.Stderr, "bench: missing or unknown benchmark; the only one is overhead")
		return subcommands.ExitUsageError
	}
	// Flags may follow the name.
	if f.Parse(f.Args()[1:]) != nil || !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	return untilSignal(ctx, func(ctx context.Context) error {
		b := c.settings.Bench
		report, err := replay.RunOverhead(ctx, replay.OverheadOptions{
			Seconds: b.Seconds, Tasks: b.Tasks, InFlight: b.InFlight, Rate: b.Rate, CPUProfile: b.CPUProfile,
		})
		if report != nil {
			printReport(report, b.Output)
		}
		return err
	})
}
