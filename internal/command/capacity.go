package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/capacity"
	"github.com/mustardstep/mustardstep/internal/settings"
)

type capacityCommand struct {
	base[settings.ReplayCapacityProgram]
}

// Capacity returns the command that measures the slopes of docs/CAPACITY.md.
func Capacity() subcommands.Command {
	return &capacityCommand{base[settings.ReplayCapacityProgram]{
		name: "capacity", synopsis: "measure how the cost of each role grows and project it to the size to come",
	}}
}

func (c *capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	results := capacity.Run(c.settings.Capacity.Lines)
	if len(results) == 0 {
		fmt.Fprintln(os.Stderr, "capacity: -lines names no known line")
		return subcommands.ExitUsageError
	}
	if c.settings.Capacity.Output == "table" {
		for _, line := range results {
			fmt.Printf("%-28s %-24s %s\n", line.Name, line.Role, formatLine(line))
		}
		return subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(results); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// formatLine shows the points, the fit and the projection of a line.
func formatLine(l capacity.Line) string {
	text := ""
	for _, p := range l.Points {
		text += fmt.Sprintf("%g:%.4g ", p.Driver, p.Cost)
	}
	return fmt.Sprintf("%s= %.4g + %.4g x (r2 %.3f); at %.4g %s: %.4g %s",
		text, l.Fit.Intercept, l.Fit.Slope, l.Fit.R2, l.Target, l.Driver, l.Projected, l.Unit)
}
