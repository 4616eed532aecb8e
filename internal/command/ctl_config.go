package command

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
)

func configCommand() subcommands.Command {
	return newCtlCommand("config", "show and change entries of the configuration",
		[]string{"get", "set", "diff", "history"},
		map[string]ctlSubcommand{
			"get":     {usage: "config get [PREFIX] [-revision N]", variadic: true, run: configGet},
			"set":     {usage: "config set KEY=VALUE|KEY- ... [-note TEXT] [-wait]   (KEY- removes KEY)", args: 1, variadic: true, run: configSet},
			"diff":    {usage: "config diff -revision N", run: configDiff},
			"history": {usage: "config history", run: history("")},
		})
}

func configGet(c *ctl, args []string) error {
	config, err := c.configurationAtRevision()
	if err != nil {
		return err
	}
	if len(args) > 0 {
		config.Entries = slices.DeleteFunc(config.Entries, func(e api.ConfigurationEntry) bool {
			return !slices.ContainsFunc(args, func(prefix string) bool { return strings.HasPrefix(e.Key, prefix) })
		})
	}
	return c.print(config, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "KEY\tREVISION\tVALUE")
		for _, e := range config.Entries {
			fmt.Fprintf(t, "%s\t%d\t%s\n", e.Key, e.Revision, firstLine(e.Value))
		}
		t.Flush()
	})
}

// firstLine shortens a multi-line value to its first line.
func firstLine(value string) string {
	first, rest, more := strings.Cut(strings.TrimSuffix(value, "\n"), "\n")
	if more {
		return fmt.Sprintf("%s ... (%d more lines)", first, strings.Count(rest, "\n")+1)
	}
	return first
}

func configSet(c *ctl, args []string) error {
	c.settings.Revision = 0 // a change is always based on the configuration in force
	current, err := c.configurationAtRevision()
	if err != nil {
		return err
	}
	return c.applyAssignments(current, args)
}

// applyAssignments makes a change from assignments of the form KEY=VALUE and
// removals of the form KEY-.
func (c *ctl) applyAssignments(current *api.Configuration, assignments []string) error {
	state := newState(current)
	var edits []configuration.Edit
	for _, text := range assignments {
		edit, err := parseAssignment(text)
		if err != nil {
			return err
		}
		if value, found := state.Get(edit.Key); found {
			edit.Before = &value
		}
		if edit.After != nil && edit.Before != nil && *edit.After == *edit.Before {
			continue
		}
		if edit.After == nil && edit.Before == nil {
			return errorf(exitInvalid, "%s is not set; nothing was changed", edit.Key)
		}
		edits = append(edits, edit)
	}
	return c.change(current, edits)
}

func parseAssignment(text string) (configuration.Edit, error) {
	key, value, assigns := strings.Cut(text, "=")
	edit := configuration.Edit{Key: key, After: &value}
	if !assigns {
		var removes bool
		if key, removes = strings.CutSuffix(text, "-"); !removes {
			return edit, errorf(exitInvalid, "%q is neither KEY=VALUE nor KEY-; nothing was changed", text)
		}
		edit = configuration.Edit{Key: key}
	}
	if err := configuration.CheckKey(key); err != nil {
		return edit, errorf(exitInvalid, "%v; nothing was changed", err)
	}
	return edit, nil
}

func configDiff(c *ctl, _ []string) error {
	if c.settings.Revision == 0 {
		return errorf(subcommands.ExitUsageError, "config diff: missing -revision; config history lists the revisions")
	}
	earlier, err := c.configurationAtRevision()
	if err != nil {
		return err
	}
	current, err := c.client.Configuration()
	if err != nil {
		return unreachableError(err)
	}
	return c.printEdits(earlier.Revision, configuration.Diff(newState(earlier), newState(current)))
}
