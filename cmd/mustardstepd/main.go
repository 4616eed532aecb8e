// Command mustardstepd is the daemon that runs on every entry VM.
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
	subcommands.Register(command.Serve("serve"), "")
	subcommands.Register(command.Check(), "")
	subcommands.Register(command.Version(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
