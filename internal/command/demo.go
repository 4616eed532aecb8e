package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/mustardstep/mustardstep/internal/settings"
)

type demoCommand struct {
	base[settings.ReplayDemoProgram]
}

// Demo returns the command that demonstrates a small complete system.
func Demo() subcommands.Command {
	return &demoCommand{base[settings.ReplayDemoProgram]{
		name: "demo", synopsis: "start a small complete system, make a call, print its answer and stop everything",
	}}
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	return untilSignal(ctx, func(ctx context.Context) error {
		return replay.RunDemo(ctx, os.Stdout, c.settings.Demo.Keep)
	})
}
