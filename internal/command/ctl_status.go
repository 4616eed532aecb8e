package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
)

func statusCommand() subcommands.Command {
	return newCtlCommand("status", "show every VM and whether it holds the newest configuration", []string{""},
		map[string]ctlAction{"": {usage: "status", run: status}})
}

func drainCommand() subcommands.Command {
	return newCtlCommand("drain", "give VMs, entry VMs or upstreams, no new work until undrain", []string{""},
		map[string]ctlAction{"": {usage: "drain VM ... [-note TEXT] [-wait]", args: 1, many: true, run: drain}})
}

func undrainCommand() subcommands.Command {
	return newCtlCommand("undrain", "give drained VMs work again", []string{""},
		map[string]ctlAction{"": {usage: "undrain VM ... [-note TEXT] [-wait]", args: 1, many: true, run: undrain}})
}

func status(c *ctl, _ []string) error {
	report, err := c.client.Status()
	if err != nil {
		return unreachable(err)
	}
	if err := c.print(report, func(w io.Writer) { printStatus(w, report) }); err != nil {
		return err
	}
	if !report.Converged {
		return fail(exitNotInForce, "not every VM holds revision %d", report.Revision)
	}
	return nil
}

func printStatus(w io.Writer, report *api.StatusReport) {
	word := "agreed"
	if !report.Converged {
		word = "differs"
	}
	fmt.Fprintf(w, "configuration %s: revision %d, fingerprint %s\n", word, report.Revision, report.Fingerprint)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DATA CENTRE\tVM\tVERSION\tREVISION\tCONFIGURATION\tSTATE\tMEMBERS\tEJECTED\tANSWER MS\tREMARK")
	for _, vm := range report.VMs {
		if vm.Unreachable != "" {
			fmt.Fprintf(t, "%s\t%s\t-\t-\tunknown\tunreachable\t-\t-\t%.1f\t%s\n",
				vm.DataCentre, vm.VM, milliseconds(vm.TookUS), vm.Unreachable)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%.1f\t%s\n", vm.DataCentre, vm.VM, vm.Version, vm.Revision,
			agreement(vm), stateText(vm), vm.Members, listOr(vm.Ejected, "-"), milliseconds(vm.TookUS), remark(vm))
	}
	t.Flush()
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func agreement(vm api.VMStatus) string {
	if vm.UpToDate {
		return "agreed"
	}
	return "differs"
}

func stateText(vm api.VMStatus) string {
	switch {
	case vm.Draining:
		return "draining"
	case !vm.Ready:
		return "not ready"
	}
	return "ready"
}

func remark(vm api.VMStatus) string {
	var remarks []string
	if vm.Token != 0 {
		remarks = append(remarks, fmt.Sprintf("dispatches to %d upstreams under token %d", vm.Claimed, vm.Token))
	}
	if vm.Watching {
		remarks = append(remarks, "watches the configuration")
	}
	return strings.Join(remarks, ", ")
}

func listOr(names []string, none string) string {
	if len(names) == 0 {
		return none
	}
	return strings.Join(names, ",")
}

func drain(c *ctl, vms []string) error {
	reason := c.settings.Note
	if reason == "" {
		reason = "drained by " + c.author()
	}
	return c.setDrains(vms, "="+reason)
}

func undrain(c *ctl, vms []string) error { return c.setDrains(vms, "-") }

func (c *ctl) setDrains(vms []string, assignment string) error {
	held, err := c.client.Configuration()
	if err != nil {
		return unreachable(err)
	}
	assignments := make([]string, len(vms))
	for i, vm := range vms {
		assignments[i] = configuration.PrefixDrains + vm + assignment
	}
	return c.set(held, assignments)
}
