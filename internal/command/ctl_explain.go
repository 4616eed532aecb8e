package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/api"
)

func explainCommand() subcommands.Command {
	return newCtlCommand("explain", "show where the tasks of a submission went, and what still waits", []string{""},
		map[string]ctlAction{"": {usage: "explain CALLER KEY", args: 2, run: explain}})
}

func explain(c *ctl, names []string) error {
	report, err := c.client.Explain(names[0], names[1])
	if err != nil {
		return unreachable(err)
	}
	return c.print(report, func(w io.Writer) { printExplanation(w, report) })
}

func printExplanation(w io.Writer, report *api.Explanation) {
	fmt.Fprintf(w, "submission is %s at %s\n", report.State, report.VM)
	if report.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", report.Reason)
	}
	if report.Waiting > 0 {
		fmt.Fprintf(w, "%d tasks wait; %d wait for %s in all; a new one is expected to wait %.1f ms\n",
			report.Waiting, report.Ahead, report.Service, milliseconds(report.ExpectedWaitUS))
	}
	if len(report.Placed) == 0 {
		fmt.Fprintln(w, "no placement of it is kept")
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TASK\tUPSTREAM\tREASON\tWAITED MS\tSLOTS DECLINED\tUPSTREAMS CONSIDERED\tEJECTED\tSLOTS")
	for _, p := range report.Placed {
		fmt.Fprintf(t, "%d\t%s\t%s\t%.1f\t%d\t%d\t%d\t%d\n", p.Task, p.Upstream, p.Reason,
			milliseconds(p.WaitedUS), p.Declined, p.Upstreams, p.Ejected, p.Slots)
	}
	t.Flush()
}
