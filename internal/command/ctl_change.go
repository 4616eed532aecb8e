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

// waitPause is the time between two looks at the status.
const waitPause = 100 * time.Millisecond

// change makes a change on top of what the operator saw.
func (c *ctl) change(seen *api.Configuration, edits []configuration.Edit) error {
	if len(edits) == 0 {
		return c.print(&api.ChangeResponse{Outcome: api.ChangeAccepted, Revision: seen.Revision}, func(w io.Writer) {
			fmt.Fprintf(w, "nothing to change: revision %d holds it\n", seen.Revision)
		})
	}
	request := &api.ChangeRequest{
		ID: c.settings.ID, Author: c.author(), Note: c.settings.Note, Base: seen.Revision, Retry: c.settings.ID != "",
	}
	if request.ID == "" {
		request.ID = rand.Text()
	}
	for _, e := range edits {
		request.Edits = append(request.Edits, api.ConfigurationEdit(e))
	}
	response, err := c.client.Change(request)
	if err != nil {
		return fail(exitUnknown, "%v\nthe change may have been made; repeat it with -id %s", err, request.ID)
	}
	if err := c.refusal(request, response); err != nil {
		return err
	}
	if err := c.print(response, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", response.Revision)
	}); err != nil {
		return err
	}
	if c.settings.Wait {
		return c.await(response.Revision)
	}
	return nil
}

// refusal returns what to tell of a change that was not accepted.
func (c *ctl) refusal(request *api.ChangeRequest, response *api.ChangeResponse) error {
	switch response.Outcome {
	case api.ChangeAccepted:
		return nil
	case api.ChangeConflict:
		var text strings.Builder
		fmt.Fprintf(&text, "conflict: you saw revision %d, revision %d is in force; nothing was changed\n", response.Base, response.Revision)
		fmt.Fprintf(&text, "what changed since (- what you saw, + what is in force):\n")
		for _, e := range response.Theirs {
			writeEdit(&text, configuration.Edit(e))
		}
		text.WriteString("look at the change above and run the command again to make yours on top of it")
		return fail(exitConflict, "%s", text.String())
	case api.ChangeInvalid:
		lines := append(append([]string{}, response.Problems...), response.Reason)
		return fail(exitInvalid, "%s\nnothing was changed", strings.Join(lines, "\n"))
	case api.ChangeUnavailable:
		return fail(subcommands.ExitFailure, "%s\nnothing was changed; run the command again when the platform's service answers", response.Reason)
	default:
		return fail(exitUnknown, "%s\nrepeat it with -id %s: it is made at most once", response.Reason, request.ID)
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

// await returns when a revision is in force on every VM, or names those that
// lack it.
func (c *ctl) await(revision int64) error {
	deadline := time.Now().Add(c.settings.WaitTimeout)
	for {
		report, err := c.client.Status()
		var lacking []string
		if err == nil {
			lacking = lacks(report, revision)
		}
		if err == nil && len(lacking) == 0 {
			fmt.Fprintf(c.errOut, "revision %d is in force on %d VMs\n", revision, len(report.VMs))
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return fail(exitNotInForce, "accepted as revision %d, but no daemon tells whether it is in force: %v", revision, err)
			}
			return fail(exitNotInForce, "accepted as revision %d, but not in force within %v on:\n%s",
				revision, c.settings.WaitTimeout, strings.Join(lacking, "\n"))
		}
		time.Sleep(waitPause)
	}
}

// lacks names the VMs that do not hold a revision.
func lacks(report *api.StatusReport, revision int64) []string {
	var lacking []string
	for _, vm := range report.VMs {
		switch {
		case vm.Unreachable != "":
			lacking = append(lacking, fmt.Sprintf("  %s (%s): unreachable: %s", vm.VM, vm.DataCentre, vm.Unreachable))
		case vm.Revision < revision:
			lacking = append(lacking, fmt.Sprintf("  %s (%s): holds revision %d", vm.VM, vm.DataCentre, vm.Revision))
		}
	}
	return lacking
}

// writeEdit writes the old and the new value of an entry, line by line.
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

// stateOf returns the entries as a state, to compare it with another one.
func stateOf(held *api.Configuration) *configuration.State {
	var entries []configuration.Entry
	for _, e := range held.Entries {
		entries = append(entries, configuration.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return configuration.New(held.Revision, entries)
}

// earlier returns the configuration at an earlier revision, as far as the
// history goes back.
func (c *ctl) earlier(held *api.Configuration, revision int64) (*api.Configuration, error) {
	history, err := c.client.History()
	if err != nil {
		return nil, unreachable(err)
	}
	var undone [][]configuration.Edit
	next := held.Revision
	for _, change := range history.Changes {
		if change.Revision > held.Revision || change.Revision <= revision {
			continue
		}
		if change.Revision != next {
			break
		}
		next--
		undone = append(undone, editsOf(change))
	}
	if next != revision {
		return nil, fail(exitInvalid, "revision %d is not in the history, which goes back to %d", revision, next)
	}
	state := configuration.Undo(stateOf(held), revision, undone)
	then := &api.Configuration{VM: held.VM, Revision: revision, Fingerprint: fmt.Sprintf("%016x", state.Fingerprint())}
	for _, e := range state.Entries("") {
		then.Entries = append(then.Entries, api.ConfigurationEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return then, nil
}

func editsOf(change api.StoredChange) []configuration.Edit {
	edits := make([]configuration.Edit, len(change.Edits))
	for i, e := range change.Edits {
		edits[i] = configuration.Edit{Key: e.Key, Before: e.Before}
	}
	return edits
}
