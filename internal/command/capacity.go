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

// Capacity returns the command that measures the table of docs/CAPACITY.md.
func Capacity() subcommands.Command {
	return &capacityCommand{base[settings.ReplayCapacityProgram]{
		name: "capacity", synopsis: "measure how the cost of each role grows and project it to the target size",
	}}
}

func (c *capacityCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	results := capacity.Run(c.settings.Capacity.Benchmarks)
	if len(results) == 0 {
		fmt.Fprintln(os.Stderr, "capacity: -lines matches no benchmark")
		return subcommands.ExitUsageError
	}
	switch c.settings.Capacity.Output {
	case "table":
		for _, r := range results {
			fmt.Printf("%-28s %-24s %s\n", r.Name, r.Role, formatResult(r))
		}
		return subcommands.ExitSuccess
	case "markdown":
		fmt.Println("| line | role | points (driver: cost) | fit | at the size to come |\n|---|---|---|---|---|")
		for _, r := range results {
			fmt.Println(markdownRow(r))
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

// formatResult formats the points, the fit and the projection of a result.
func formatResult(r capacity.Result) string {
	return fmt.Sprintf("%s = %s; at %.4g %s: %.4g %s",
		formatPoints(r.Points), formatFit(r.Fit), r.Target, r.Driver, r.Projected, r.Unit)
}

// markdownRow formats a result as a row of a Markdown table.
func markdownRow(r capacity.Result) string {
	return fmt.Sprintf("| `%s` | %s | %s | %s | %.4g %s: %.4g %s |",
		r.Name, r.Role, formatPoints(r.Points), formatFit(r.Fit), r.Target, r.Driver, r.Projected, r.Unit)
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
