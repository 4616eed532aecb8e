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

// Exit codes of mustardctl beside 0 for success, 1 for a failure that changed
// nothing and 2 for wrong usage.
const (
	// exitConflict means that another change went ahead; nothing was changed.
	exitConflict subcommands.ExitStatus = 3
	// exitInvalid means that the input has faults; nothing was changed.
	exitInvalid subcommands.ExitStatus = 4
	// exitUnknown means that the change may have been made.
	exitUnknown subcommands.ExitStatus = 5
	// exitNotInForce means that some VM lacks the configuration or is not
	// reached.
	exitNotInForce subcommands.ExitStatus = 6
	// exitDiffers means that a comparison found differences.
	exitDiffers subcommands.ExitStatus = 7
)

// ctlError is a failure with its exit code.
type ctlError struct {
	status subcommands.ExitStatus
	reason string
}

// Error implements error.
func (e *ctlError) Error() string { return e.reason }

func fail(status subcommands.ExitStatus, format string, args ...any) error {
	return &ctlError{status, fmt.Sprintf(format, args...)}
}

// ctl is one run of mustardctl: its settings, the daemon and the output.
type ctl struct {
	settings settings.Ctl
	client   *operators.Client
	out      io.Writer
	errOut   io.Writer
}

// ctlAction is a command of mustardctl, or one of its second words.
type ctlAction struct {
	usage string
	// args is the number of arguments; many allows more.
	args int
	many bool
	run  func(c *ctl, args []string) error
}

// ctlCommand is a command with or without second words.
type ctlCommand struct {
	base[settings.MustardctlProgram]
	actions map[string]ctlAction // by second word; "" stands for none
	order   []string
}

func newCtlCommand(name, synopsis string, order []string, actions map[string]ctlAction) *ctlCommand {
	return &ctlCommand{base[settings.MustardctlProgram]{name: name, synopsis: synopsis}, actions, order}
}

// CtlCommands returns the commands of mustardctl.
func CtlCommands() []subcommands.Command {
	return []subcommands.Command{schemaCommand(), configCommand(), statusCommand(), drainCommand(), undrainCommand(), explainCommand()}
}

// Usage lists the forms of the command; flags follow.
func (c *ctlCommand) Usage() string {
	text := ""
	for _, word := range c.order {
		text += "mustardctl " + c.actions[word].usage + "\n"
	}
	return text + "  " + c.synopsis + ".\n  Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid input, 5 may have been made,\n" +
		"  6 not in force everywhere, 7 differences found.\n\n"
}

func (c *ctlCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := interleaved(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	action, args, ok := c.action(args)
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.binder.Resolve(os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	s := c.settings.Ctl
	return report(action.run(&ctl{s, operators.NewClient(s.Servers, s.Timeout), os.Stdout, os.Stderr}, args))
}

// action finds the action for the arguments and returns those that remain.
func (c *ctlCommand) action(args []string) (ctlAction, []string, bool) {
	action, found := c.actions[""]
	if !found && len(args) > 0 {
		action, found = c.actions[args[0]]
		args = args[1:]
	}
	enough := len(args) == action.args || (action.many && len(args) >= action.args)
	return action, args, found && enough
}

// interleaved returns the arguments of a command whose flags may stand between
// and behind them.
func interleaved(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// report prints a failure and returns the exit code.
func report(err error) subcommands.ExitStatus {
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

// print writes a value as JSON, or by the function as a table.
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

// held returns the configuration in force, or at the revision of the settings.
func (c *ctl) held() (*api.Configuration, error) {
	held, err := c.client.Configuration()
	if err != nil {
		return nil, unreachable(err)
	}
	revision := int64(c.settings.Revision)
	if revision == 0 || revision == held.Revision {
		return held, nil
	}
	return c.earlier(held, revision)
}

func unreachable(err error) error {
	return fail(subcommands.ExitFailure, "%v\ngive the HTTP address of a running daemon with -server", err)
}
