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
	return newCtlCommand("status", "show every VM and whether it has the latest configuration", []string{""},
		map[string]ctlSubcommand{"": {usage: "status", run: status}})
}

func drainCommand() subcommands.Command {
	return newCtlCommand("drain", "stop giving new work to entry VMs or upstreams until undrain", []string{""},
		map[string]ctlSubcommand{"": {usage: "drain VM ... [-note TEXT] [-wait]", args: 1, variadic: true, run: drain}})
}

func undrainCommand() subcommands.Command {
	return newCtlCommand("undrain", "resume giving work to drained VMs", []string{""},
		map[string]ctlSubcommand{"": {usage: "undrain VM ... [-note TEXT] [-wait]", args: 1, variadic: true, run: undrain}})
}

func status(c *ctl, _ []string) error {
	report, err := c.client.Status()
	if err != nil {
		return unreachableError(err)
	}
	if err := c.print(report, func(w io.Writer) { printStatus(w, report) }); err != nil {
		return err
	}
	if !report.Converged {
		return errorf(exitNotInForce, "revision %d is not in force on every VM", report.Revision)
	}
	return nil
}

func printStatus(w io.Writer, report *api.StatusReport) {
	agreement := "agreed"
	if !report.Converged {
		agreement = "differs"
	}
	fmt.Fprintf(w, "configuration %s: revision %d, fingerprint %s\n", agreement, report.Revision, report.Fingerprint)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DATA CENTRE\tVM\tVERSION\tREVISION\tCONFIGURATION\tSTATE\tMEMBERS\tEJECTED\tANSWER MS\tREMARK")
	for _, vm := range report.VMs {
		if vm.Unreachable != "" {
			fmt.Fprintf(t, "%s\t%s\t-\t-\tunknown\tunreachable\t-\t-\t%.1f\t%s\n",
				vm.DataCentre, vm.VM, milliseconds(vm.TookUS), vm.Unreachable)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%.1f\t%s\n", vm.DataCentre, vm.VM, vm.Version, vm.Revision,
			configurationState(vm), vmState(vm), vm.Members, joinOr(vm.Ejected, "-"), milliseconds(vm.TookUS), vmNotes(vm))
	}
	t.Flush()
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func configurationState(vm api.VMStatus) string {
	if vm.UpToDate {
		return "agreed"
	}
	return "differs"
}

func vmState(vm api.VMStatus) string {
	switch {
	case vm.Draining:
		return "draining"
	case !vm.Ready:
		return "not ready"
	}
	return "ready"
}

func vmNotes(vm api.VMStatus) string {
	var notes []string
	if vm.Token != 0 {
		notes = append(notes, fmt.Sprintf("dispatches to %d upstreams under token %d", vm.Claimed, vm.Token))
	}
	if len(vm.Evacuated) > 0 {
		notes = append(notes, "evacuated: "+strings.Join(vm.Evacuated, ","))
	}
	if vm.Watching {
		notes = append(notes, "watches the configuration")
	}
	return strings.Join(notes, ", ")
}

func joinOr(names []string, none string) string {
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
	current, err := c.client.Configuration()
	if err != nil {
		return unreachableError(err)
	}
	assignments := make([]string, len(vms))
	for i, vm := range vms {
		assignments[i] = configuration.PrefixDrains + vm + assignment
	}
	return c.applyAssignments(current, assignments)
}
