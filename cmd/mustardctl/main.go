// Command mustardctl is the operators' client.
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
	for _, c := range command.CtlCommands() {
		subcommands.Register(c, "operators")
	}
	subcommands.Register(command.Version(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
