// Command mustardstep-replay runs traces against real daemons and prints what
// became of them. It starts the daemons and stand-ins as processes of its own.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/command"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(command.Suite(), "")
	subcommands.Register(command.Capacity(), "")
	subcommands.Register(command.Demo(), "")
	subcommands.Register(command.Bench(), "")
	subcommands.Register(command.Generate(), "")
	subcommands.Register(command.Decide(), "")
	// Suites run these in processes of their own.
	subcommands.Register(command.Serve("daemon"), "processes")
	subcommands.Register(command.StandinUpstreams(), "processes")
	subcommands.Register(command.StandinPlatform(), "processes")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
