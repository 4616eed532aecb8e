package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/api"
)

func explainCommand() subcommands.Command {
	return newCtlCommand("explain", "show the upstreams that run tasks of a submission, and how many tasks wait", []string{""},
		map[string]ctlSubcommand{"": {usage: "explain CALLER KEY", args: 2, run: explain}})
}

func explain(c *ctl, names []string) error {
	report, err := c.client.Explain(names[0], names[1])
	if err != nil {
		return unreachableError(err)
	}
	return c.print(report, func(w io.Writer) { printExplanation(w, report) })
}

func printExplanation(w io.Writer, report *api.Explanation) {
	fmt.Fprintf(w, "submission is %s at %s\n", report.State, report.VM)
	if report.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", report.Reason)
	}
	if report.Dispatcher == "" {
		return
	}
	fmt.Fprintf(w, "%s dispatches it: %d unfinished tasks, %d of them waiting; %d tasks of all jobs are waiting there\n",
		report.Dispatcher, report.Open, report.Waiting, report.TotalWaiting)
	if len(report.Placements) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TASK\tATTEMPT\tUPSTREAM\tSTATE\tFOR MS")
	for _, p := range report.Placements {
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%.1f\n", p.Task, p.Attempt, p.Upstream, p.State, milliseconds(p.AgeUS))
	}
	t.Flush()
}
