package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/daemon"
)

type versionCommand struct{}

// Version returns the command that prints the release.
func Version() subcommands.Command { return versionCommand{} }

func (versionCommand) Name() string           { return "version" }
func (versionCommand) Synopsis() string       { return "print the release" }
func (versionCommand) Usage() string          { return "version\n  print the release.\n" }
func (versionCommand) SetFlags(*flag.FlagSet) {}

func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("mustardstep", daemon.Version)
	return subcommands.ExitSuccess
}
