package command

import (
	"crypto/rand"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
)

// pollInterval is the time between two reads of the status while waiting.
const pollInterval = 100 * time.Millisecond

// change submits the edits as a change based on the current configuration, from
// which they were made.
func (c *ctl) change(current *api.Configuration, edits []configuration.Edit) error {
	if len(edits) == 0 {
		return c.print(&api.ChangeResponse{Outcome: api.ChangeAccepted, Revision: current.Revision}, func(w io.Writer) {
			fmt.Fprintf(w, "nothing to change: revision %d already has these values\n", current.Revision)
		})
	}
	request := &api.ChangeRequest{
		ID: c.settings.ID, Author: c.author(), Note: c.settings.Note, Base: current.Revision, Retry: c.settings.ID != "",
	}
	if request.ID == "" {
		request.ID = rand.Text()
	}
	for _, e := range edits {
		request.Edits = append(request.Edits, api.ConfigurationEdit(e))
	}
	response, err := c.client.Change(request)
	if err != nil {
		return errorf(exitUnknown, "%v\nthe change may have been made; to retry safely, run the command again with -id %s", err, request.ID)
	}
	if err := c.changeError(request, response); err != nil {
		return err
	}
	if err := c.print(response, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", response.Revision)
	}); err != nil {
		return err
	}
	if c.settings.Wait {
		return c.waitInForce(response.Revision)
	}
	return nil
}

// changeError returns an error for a change that was not accepted, else nil.
func (c *ctl) changeError(request *api.ChangeRequest, response *api.ChangeResponse) error {
	switch response.Outcome {
	case api.ChangeAccepted:
		return nil
	case api.ChangeConflict:
		var text strings.Builder
		fmt.Fprintf(&text, "conflict: the change is based on revision %d, but revision %d is in force; nothing was changed\n", response.Base, response.Revision)
		fmt.Fprintf(&text, "changes since then (- old value, + value in force):\n")
		for _, e := range response.Theirs {
			writeEdit(&text, configuration.Edit(e))
		}
		text.WriteString("review the changes above, then run the command again to apply yours on top of them")
		return errorf(exitConflict, "%s", text.String())
	case api.ChangeInvalid:
		lines := append(append([]string{}, response.Problems...), response.Reason)
		return errorf(exitInvalid, "%s\nnothing was changed", strings.Join(lines, "\n"))
	case api.ChangeUnavailable:
		return errorf(subcommands.ExitFailure, "%s\nnothing was changed; run the command again when the platform's store is available", response.Reason)
	default:
		return errorf(exitUnknown, "%s\nrun the command again with -id %s; the change is made at most once", response.Reason, request.ID)
	}
}

func (c *ctl) author() string {
	if c.settings.Author != "" {
		return c.settings.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// waitInForce waits until a revision is in force on every VM. On timeout, its
// error lists the VMs that lack it.
func (c *ctl) waitInForce(revision int64) error {
	deadline := time.Now().Add(c.settings.WaitTimeout)
	for {
		report, err := c.client.Status()
		var outdated []string
		if err == nil {
			outdated = outdatedVMs(report, revision)
		}
		if err == nil && len(outdated) == 0 {
			fmt.Fprintf(c.errOut, "revision %d is in force on %d VMs\n", revision, len(report.VMs))
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return errorf(exitNotInForce, "accepted as revision %d, but no daemon reported whether it is in force: %v", revision, err)
			}
			return errorf(exitNotInForce, "accepted as revision %d, but not in force after %v on:\n%s",
				revision, c.settings.WaitTimeout, strings.Join(outdated, "\n"))
		}
		time.Sleep(pollInterval)
	}
}

// outdatedVMs returns a line for each VM that is unreachable or has an earlier
// revision.
func outdatedVMs(report *api.StatusReport, revision int64) []string {
	var outdated []string
	for _, vm := range report.VMs {
		switch {
		case vm.Unreachable != "":
			outdated = append(outdated, fmt.Sprintf("  %s (%s): unreachable: %s", vm.VM, vm.DataCentre, vm.Unreachable))
		case vm.Revision < revision:
			outdated = append(outdated, fmt.Sprintf("  %s (%s): holds revision %d", vm.VM, vm.DataCentre, vm.Revision))
		}
	}
	return outdated
}

// writeEdit writes the old and the new value of an entry as a diff.
func writeEdit(w io.Writer, e configuration.Edit) {
	fmt.Fprintln(w, e.Key)
	writeLines(w, "  - ", e.Before)
	writeLines(w, "  + ", e.After)
}

func writeLines(w io.Writer, prefix string, value *string) {
	if value == nil {
		return
	}
	for line := range strings.Lines(strings.TrimSuffix(*value, "\n") + "\n") {
		fmt.Fprint(w, prefix, line)
	}
}

// newState returns the state that a configuration describes.
func newState(c *api.Configuration) *configuration.State {
	var entries []configuration.Entry
	for _, e := range c.Entries {
		entries = append(entries, configuration.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return configuration.New(c.Revision, entries)
}

// reconstruct returns the configuration at an earlier revision by undoing the
// changes since then. It fails if the history does not reach back that far.
func (c *ctl) reconstruct(current *api.Configuration, revision int64) (*api.Configuration, error) {
	history, err := c.client.History()
	if err != nil {
		return nil, unreachableError(err)
	}
	var undone [][]configuration.Edit
	next := current.Revision
	for _, change := range history.Changes {
		if change.Revision > current.Revision || change.Revision <= revision {
			continue
		}
		if change.Revision != next {
			break
		}
		next--
		undone = append(undone, revertedEdits(change))
	}
	if next != revision {
		return nil, errorf(exitInvalid, "revision %d is not in the history, which goes back to revision %d", revision, next)
	}
	state := configuration.Undo(newState(current), revision, undone)
	earlier := &api.Configuration{VM: current.VM, Revision: revision, Fingerprint: fmt.Sprintf("%016x", state.Fingerprint())}
	for _, e := range state.Entries("") {
		earlier.Entries = append(earlier.Entries, api.ConfigurationEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return earlier, nil
}

// revertedEdits returns the edits of a change, without the new values, for
// configuration.Undo.
func revertedEdits(change api.StoredChange) []configuration.Edit {
	edits := make([]configuration.Edit, len(change.Edits))
	for i, e := range change.Edits {
		edits[i] = configuration.Edit{Key: e.Key, Before: e.Before}
	}
	return edits
}
