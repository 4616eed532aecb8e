package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/operators"
	"github.com/mustardstep/mustardstep/internal/settings"
)

// Exit codes of mustardctl, in addition to 0 for success, 1 for a failure that
// changed nothing and 2 for a usage error.
const (
	// exitConflict means that a concurrent change conflicts; nothing was changed.
	exitConflict subcommands.ExitStatus = 3
	// exitInvalid means that the input is invalid; nothing was changed.
	exitInvalid subcommands.ExitStatus = 4
	// exitUnknown means that the change may have been made.
	exitUnknown subcommands.ExitStatus = 5
	// exitNotInForce means that a VM lacks the configuration or is unreachable.
	exitNotInForce subcommands.ExitStatus = 6
	// exitDiffers means that a comparison found differences.
	exitDiffers subcommands.ExitStatus = 7
)

// ctlError is an error with the exit code of mustardctl.
type ctlError struct {
	status subcommands.ExitStatus
	reason string
}

// Error implements error.
func (e *ctlError) Error() string { return e.reason }

func errorf(status subcommands.ExitStatus, format string, args ...any) error {
	return &ctlError{status, fmt.Sprintf(format, args...)}
}

// ctl is one invocation of mustardctl.
type ctl struct {
	settings settings.Ctl
	client   *operators.Client
	out      io.Writer
	errOut   io.Writer
}

// ctlSubcommand is a command of mustardctl, or a subcommand such as "config get".
type ctlSubcommand struct {
	usage string
	// args is the number of arguments, or the minimum if variadic is set.
	args     int
	variadic bool
	run      func(c *ctl, args []string) error
}

// ctlCommand is a command of mustardctl with or without subcommands.
type ctlCommand struct {
	base[settings.MustardctlProgram]
	subcommands map[string]ctlSubcommand // by name; "" if the command has no subcommands
	order       []string                 // order of the subcommands in the help
}

func newCtlCommand(name, synopsis string, order []string, subcommands map[string]ctlSubcommand) *ctlCommand {
	return &ctlCommand{base[settings.MustardctlProgram]{name: name, synopsis: synopsis}, subcommands, order}
}

// CtlCommands returns the commands of mustardctl.
func CtlCommands() []subcommands.Command {
	return []subcommands.Command{schemaCommand(), configCommand(), statusCommand(), drainCommand(), undrainCommand(), explainCommand()}
}

// Usage lists the subcommands and the exit codes. Package subcommands prints the
// flags after it.
func (c *ctlCommand) Usage() string {
	text := ""
	for _, name := range c.order {
		text += "mustardctl " + c.subcommands[name].usage + "\n"
	}
	return text + "  " + c.synopsis + ".\n  Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict, 4 invalid input, 5 outcome unknown,\n" +
		"  6 not in force on every VM, 7 differences found.\n\n"
}

func (c *ctlCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseInterleaved(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	sub, args, ok := c.find(args)
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.binder.Resolve(os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	s := c.settings.Ctl
	return reportError(sub.run(&ctl{s, operators.NewClient(s.Servers, s.Timeout), os.Stdout, os.Stderr}, args))
}

// find returns the subcommand that the arguments name and the arguments that
// follow the name. It returns false if there is no such subcommand or the number
// of arguments is wrong.
func (c *ctlCommand) find(args []string) (ctlSubcommand, []string, bool) {
	sub, found := c.subcommands[""]
	if !found && len(args) > 0 {
		sub, found = c.subcommands[args[0]]
		args = args[1:]
	}
	countOK := len(args) == sub.args || (sub.variadic && len(args) >= sub.args)
	return sub, args, found && countOK
}

// parseInterleaved parses the flags between and after the arguments, and returns
// the arguments.
func parseInterleaved(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// reportError prints an error, if any, and returns the exit code.
func reportError(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	var failure *ctlError
	if errors.As(err, &failure) {
		return failure.status
	}
	return subcommands.ExitFailure
}

// print writes a value as JSON, or calls table, depending on the settings.
func (c *ctl) print(value any, table func(io.Writer)) error {
	if c.settings.Output != "json" {
		table(c.out)
		return nil
	}
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, string(body))
	return err
}

// configurationAtRevision returns the configuration at the revision of the
// settings, or the one in force if the revision is 0.
func (c *ctl) configurationAtRevision() (*api.Configuration, error) {
	current, err := c.client.Configuration()
	if err != nil {
		return nil, unreachableError(err)
	}
	revision := int64(c.settings.Revision)
	if revision == 0 || revision == current.Revision {
		return current, nil
	}
	return c.reconstruct(current, revision)
}

func unreachableError(err error) error {
	return errorf(subcommands.ExitFailure, "%v\nset -server to the HTTP address of a running daemon", err)
}
