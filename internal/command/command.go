// Package command implements the subcommands of the programs. Each parses its
// settings, calls the library and prints the result.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/daemon"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/standin"
)

// bindable is a settings struct that declares its settings on a settings.Binder.
type bindable interface{ Bind(*settings.Binder) }

// base implements the methods of subcommands.Command that the commands share.
type base[S any] struct {
	name, synopsis string
	settings       S
	binder         *settings.Binder
}

func (c *base[S]) Name() string     { return c.name }
func (c *base[S]) Synopsis() string { return c.synopsis }
func (c *base[S]) Usage() string {
	return fmt.Sprintf("%s [flags]\n  %s.\n  Each flag can also be set by the environment variable in brackets.\n\n", c.name, c.synopsis)
}

func (c *base[S]) SetFlags(f *flag.FlagSet) {
	c.binder = settings.NewBinder(f)
	any(&c.settings).(bindable).Bind(c.binder)
}

// resolve checks the settings and prints every error. It returns false if there
// is one.
func (c *base[S]) resolve(f *flag.FlagSet) bool {
	if f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", c.name, f.Arg(0))
		return false
	}
	if err := c.binder.Resolve(os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	return true
}

// parseSuite returns the name of a suite, which is the first argument, and
// resolves the flags, which may follow the name.
func (c *base[S]) parseSuite(f *flag.FlagSet) (name string, ok bool) {
	if f.NArg() == 0 {
		fmt.Fprintf(os.Stderr, "%s: missing suite name\n", c.name)
		return "", false
	}
	name = f.Arg(0)
	if err := f.Parse(f.Args()[1:]); err != nil {
		return "", false
	}
	return name, c.resolve(f)
}

// serveCommand runs the daemon.
type serveCommand struct{ base[settings.DaemonProgram] }

// Serve returns the command with the given name that runs the daemon.
func Serve(name string) subcommands.Command {
	return &serveCommand{base[settings.DaemonProgram]{name: name, synopsis: "run the daemon until SIGTERM"}}
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	ignoreBrokenPipe()
	log, flush := logging.New(c.settings.Logging, os.Stderr)
	defer flush()
	d, err := daemon.New(c.settings, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	limitRuntimeMemory(d.RuntimeMemory())
	stopProfile, err := startProfile(c.settings.Diagnostics.CPUProfile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	defer stopProfile()
	return untilSignal(ctx, d.Run)
}

// checkCommand validates the daemon's settings.
type checkCommand struct{ base[settings.DaemonProgram] }

// Check returns the command that validates the daemon's settings.
func Check() subcommands.Command {
	return &checkCommand{base[settings.DaemonProgram]{name: "check", synopsis: "validate the settings without starting the daemon"}}
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	log, flush := logging.New(c.settings.Logging, io.Discard)
	defer flush()
	if _, err := daemon.New(c.settings, log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

// standinCommand runs stand-in upstreams or the stand-in platform.
type standinCommand struct {
	base[settings.StandinProgram]
	run func(context.Context, settings.Standin) error
}

// StandinUpstreams returns the command that runs stand-in upstreams.
func StandinUpstreams() subcommands.Command {
	return &standinCommand{
		base[settings.StandinProgram]{name: "upstreams", synopsis: "run stand-in upstreams until SIGTERM"},
		standin.RunUpstreams,
	}
}

// StandinPlatform returns the command that runs the stand-in platform.
func StandinPlatform() subcommands.Command {
	return &standinCommand{
		base[settings.StandinProgram]{name: "platform", synopsis: "run the stand-in platform until SIGTERM"},
		standin.RunPlatform,
	}
}

func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	return untilSignal(ctx, func(ctx context.Context) error { return c.run(ctx, c.settings.Standin) })
}

// ignoreBrokenPipe keeps the process running when the reader of its log ends. Otherwise the runtime
// would end it at the next write to standard output or standard error.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }

// limitRuntimeMemory makes the runtime collect garbage more often near a limit in bytes, unless it
// is 0.
func limitRuntimeMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// untilSignal runs a function with a context that SIGTERM and SIGINT cancel, and
// prints its error.
func untilSignal(ctx context.Context, run func(context.Context) error) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
