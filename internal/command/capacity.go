package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/capacity"
)

type capacityCommand struct{ output string }

// Capacity returns the command that measures the slopes of docs/CAPACITY.md.
func Capacity() subcommands.Command { return &capacityCommand{} }

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "measure how the cost of each role grows" }
func (*capacityCommand) Usage() string {
	return "capacity [-o table|json] [LINE...]\n  measure how the cost of each role grows; all lines where none is named.\n\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "o", "table", "form of the report: table or json")
}

func (c *capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	results := capacity.Run(f.Args())
	if len(results) == 0 {
		fmt.Fprintln(os.Stderr, "capacity: no such line")
		return subcommands.ExitUsageError
	}
	if c.output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(results); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		return subcommands.ExitSuccess
	}
	for _, line := range results {
		fmt.Printf("%-28s %-24s %s\n", line.Name, line.Role, formatLine(line))
	}
	return subcommands.ExitSuccess
}

func formatLine(l capacity.Line) string {
	text := ""
	for _, p := range l.Points {
		text += fmt.Sprintf("%g:%.4g ", p.Driver, p.Cost)
	}
	return fmt.Sprintf("%s= %.4g + %.4g x (r2 %.3f); %g %s -> %.4g %s",
		text, l.Fit.Intercept, l.Fit.Slope, l.Fit.R2, l.Target, l.Driver, l.Projected, l.Unit)
}
