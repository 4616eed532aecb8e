package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Main registers the commands of a program together with help and flags, parses
// the command line, runs the selected command and exits with its status.
func Main(commands ...subcommands.Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
