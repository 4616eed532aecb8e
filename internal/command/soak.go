package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/mustardstep/mustardstep/internal/settings"
)

type soakCommand struct {
	base[settings.ReplaySoakProgram]
}

// Soak returns the command that runs real processes under random faults.
func Soak() subcommands.Command {
	return &soakCommand{base[settings.ReplaySoakProgram]{name: "soak", synopsis: "run daemons on a stand-in platform under random faults; exit 0 only if no invariant was violated"}}
}

func (c *soakCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	s := c.settings.Soak
	status := subcommands.ExitSuccess
	for i := range s.Seeds {
		options := replay.SoakOptions{
			Seed: int64(s.Seed + i), Seconds: s.Seconds, VMs: s.VMs, Upstreams: s.Upstreams, Daemon: s.Daemon,
			OnlySplits: s.OnlySplits, OnlyReplacements: s.OnlyReplacements,
		}
		if s.OnlyLongSplits != "none" {
			options.OnlyLongSplits = s.OnlyLongSplits
		}
		if s.LogDir != "" {
			options.LogDir = filepath.Join(s.LogDir, fmt.Sprintf("seed-%d", options.Seed))
			if err := os.MkdirAll(options.LogDir, 0o755); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return subcommands.ExitFailure
			}
		}
		report, err := replay.RunSoak(ctx, options)
		switch {
		case report != nil && s.Output == "json":
			printReport(report, s.Output)
		case report != nil:
			printSoak(report)
		}
		switch {
		case errors.Is(err, replay.ErrInvariantViolated):
			status = exitViolation
		case err != nil:
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return status
}

// printSoak prints a summary line and, if there are invariant violations, the
// injected faults and the violations.
func printSoak(r *replay.SoakReport) {
	fmt.Printf("seed %d: %d jobs, %d starts, answers %v, %d faults, %d invariant violations\n",
		r.Seed, r.Jobs, r.Starts, r.Answers, len(r.FaultEvents), len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, fault := range r.FaultEvents {
		fmt.Println("  ", fault)
	}
	for _, violation := range r.Violations {
		fmt.Println("  violation:", violation)
	}
}
