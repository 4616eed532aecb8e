package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

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
	switch c.settings.Capacity.Output {
	case "table":
		for _, line := range results {
			fmt.Printf("%-28s %-24s %s\n", line.Name, line.Role, formatLine(line))
		}
		return subcommands.ExitSuccess
	case "markdown":
		fmt.Println("| line | role | points (driver: cost) | fit | at the size to come |\n|---|---|---|---|---|")
		for _, line := range results {
			fmt.Println(markdownRow(line))
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
func formatLine(l capacity.Result) string {
	return fmt.Sprintf("%s = %s; at %.4g %s: %.4g %s",
		formatPoints(l.Points), formatFit(l.Fit), l.Target, l.Driver, l.Projected, l.Unit)
}

// markdownRow shows a line as a row of a table.
func markdownRow(l capacity.Result) string {
	return fmt.Sprintf("| `%s` | %s | %s | %s | %.4g %s: %.4g %s |",
		l.Name, l.Role, formatPoints(l.Points), formatFit(l.Fit), l.Target, l.Driver, l.Projected, l.Unit)
}

func formatPoints(points []capacity.Point) string {
	var texts []string
	for _, p := range points {
		texts = append(texts, fmt.Sprintf("%g: %.4g", p.Driver, p.Cost))
	}
	return strings.Join(texts, ", ")
}

func formatFit(f capacity.Fit) string {
	return fmt.Sprintf("%.4g + %.4g x (r² %.3f)", f.Intercept, f.Slope, f.R2)
}
