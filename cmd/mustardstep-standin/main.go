// Command mustardstep-standin runs small stand-ins for the systems around
// mustardstep: upstreams and the platform's services.
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
	subcommands.Register(command.StandinUpstreams(), "")
	subcommands.Register(command.StandinPlatform(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
