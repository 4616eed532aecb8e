package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
)

func schemaCommand() subcommands.Command {
	return newCtlCommand("schema", "check, compare, change and show the services file",
		[]string{"check", "diff", "push", "show", "history"},
		map[string]ctlSubcommand{
			"check":   {usage: "schema check FILE", args: 1, run: schemaCheck},
			"diff":    {usage: "schema diff FILE [-revision N]", args: 1, run: schemaDiff},
			"push":    {usage: "schema push FILE [-note TEXT] [-wait]", args: 1, run: schemaPush},
			"show":    {usage: "schema show [-revision N]", run: schemaShow},
			"history": {usage: "schema history", run: history(configuration.PrefixServices)},
		})
}

// readSchema returns the parts of a services file. Its error lists every problem
// with its line and column.
func readSchema(path string) ([]catalog.Part, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errorf(exitInvalid, "%v", err)
	}
	parts, err := catalog.Split(data)
	var problems catalog.Problems
	if errors.As(err, &problems) {
		lines := make([]string, len(problems))
		for i, p := range problems {
			lines[i] = path + ":" + p.String()
		}
		return nil, errorf(exitInvalid, "%s\n%d problems; nothing was changed", strings.Join(lines, "\n"), len(problems))
	}
	return parts, err
}

func schemaCheck(c *ctl, args []string) error {
	parts, err := readSchema(args[0])
	if err != nil {
		return err
	}
	return c.print(map[string]int{"calls": len(parts)}, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d calls\n", args[0], len(parts))
	})
}

// schemaEdits returns the edits that replace the services of a configuration
// with those of a file.
func schemaEdits(config *api.Configuration, parts []catalog.Part) []configuration.Edit {
	state := newState(config)
	var wanted []configuration.Entry
	for _, part := range parts {
		wanted = append(wanted, configuration.Entry{
			Key: configuration.PrefixServices + part.Service + "/" + part.Call, Value: part.Text,
		})
	}
	services := configuration.New(config.Revision, state.Entries(configuration.PrefixServices))
	return configuration.Diff(services, configuration.New(config.Revision, wanted))
}

func schemaDiff(c *ctl, args []string) error {
	parts, err := readSchema(args[0])
	if err != nil {
		return err
	}
	config, err := c.configurationAtRevision()
	if err != nil {
		return err
	}
	return c.printEdits(config.Revision, schemaEdits(config, parts))
}

// printEdits prints the differences from a revision. It returns an error with
// exitDiffers if there are any.
func (c *ctl) printEdits(revision int64, edits []configuration.Edit) error {
	out := make([]api.ConfigurationEdit, len(edits))
	for i, e := range edits {
		out[i] = api.ConfigurationEdit(e)
	}
	err := c.print(out, func(w io.Writer) {
		for _, e := range edits {
			writeEdit(w, e)
		}
	})
	if err == nil && len(edits) > 0 {
		return errorf(exitDiffers, "%d entries differ from revision %d", len(edits), revision)
	}
	return err
}

func schemaPush(c *ctl, args []string) error {
	parts, err := readSchema(args[0])
	if err != nil {
		return err
	}
	c.settings.Revision = 0 // a change is always based on the configuration in force
	current, err := c.configurationAtRevision()
	if err != nil {
		return err
	}
	return c.change(current, schemaEdits(current, parts))
}

func schemaShow(c *ctl, _ []string) error {
	config, err := c.configurationAtRevision()
	if err != nil {
		return err
	}
	var parts []catalog.Part
	for _, e := range config.Entries {
		if rest, isService := strings.CutPrefix(e.Key, configuration.PrefixServices); isService {
			service, call, _ := strings.Cut(rest, "/")
			parts = append(parts, catalog.Part{Service: service, Call: call, Text: e.Value})
		}
	}
	return c.print(config, func(w io.Writer) {
		fmt.Fprintf(w, "# revision %d, fingerprint %s\n%s", config.Revision, config.Fingerprint, catalog.Join(parts))
	})
}

// history returns a subcommand that prints the accepted changes of keys with a
// prefix.
func history(prefix string) func(*ctl, []string) error {
	return func(c *ctl, _ []string) error {
		all, err := c.client.History()
		if err != nil {
			return unreachableError(err)
		}
		var changes []api.StoredChange
		for _, change := range all.Changes {
			if keys := changedKeys(change, prefix); len(keys) > 0 {
				changes = append(changes, change)
			}
		}
		return c.print(changes, func(w io.Writer) {
			t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "REVISION\tTIME\tAUTHOR\tCHANGED\tNOTE")
			for _, change := range changes {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", change.Revision, time.UnixMilli(change.AtMS).UTC().Format(time.RFC3339),
					change.Author, strings.Join(changedKeys(change, prefix), " "), change.Note)
			}
			t.Flush()
		})
	}
}

func changedKeys(change api.StoredChange, prefix string) []string {
	var keys []string
	for _, e := range change.Edits {
		if strings.HasPrefix(e.Key, prefix) {
			keys = append(keys, e.Key)
		}
	}
	return keys
}
