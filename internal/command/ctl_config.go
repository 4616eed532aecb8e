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
		map[string]ctlAction{
			"get":     {usage: "config get [PREFIX] [-revision N]", many: true, run: configGet},
			"set":     {usage: "config set KEY=VALUE|KEY- ... [-note TEXT] [-wait]   (KEY- removes)", args: 1, many: true, run: configSet},
			"diff":    {usage: "config diff -revision N", run: configDiff},
			"history": {usage: "config history", run: history("")},
		})
}

func configGet(c *ctl, args []string) error {
	held, err := c.held()
	if err != nil {
		return err
	}
	if len(args) > 0 {
		held.Entries = slices.DeleteFunc(held.Entries, func(e api.ConfigurationEntry) bool {
			return !slices.ContainsFunc(args, func(prefix string) bool { return strings.HasPrefix(e.Key, prefix) })
		})
	}
	return c.print(held, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "KEY\tREVISION\tVALUE")
		for _, e := range held.Entries {
			fmt.Fprintf(t, "%s\t%d\t%s\n", e.Key, e.Revision, oneLine(e.Value))
		}
		t.Flush()
	})
}

// oneLine shortens a value of several lines to its first.
func oneLine(value string) string {
	first, rest, more := strings.Cut(strings.TrimSuffix(value, "\n"), "\n")
	if more {
		return fmt.Sprintf("%s ... (%d more lines)", first, strings.Count(rest, "\n")+1)
	}
	return first
}

func configSet(c *ctl, args []string) error {
	c.settings.Revision = 0
	held, err := c.held()
	if err != nil {
		return err
	}
	return c.set(held, args)
}

// set makes a change of assignments KEY=VALUE and removals KEY-.
func (c *ctl) set(held *api.Configuration, assignments []string) error {
	now := stateOf(held)
	var edits []configuration.Edit
	for _, text := range assignments {
		edit, err := parseAssignment(text)
		if err != nil {
			return err
		}
		if value, found := now.Get(edit.Key); found {
			edit.Before = &value
		}
		if edit.After != nil && edit.Before != nil && *edit.After == *edit.Before {
			continue
		}
		if edit.After == nil && edit.Before == nil {
			return fail(exitInvalid, "%s is not set; nothing was changed", edit.Key)
		}
		edits = append(edits, edit)
	}
	return c.change(held, edits)
}

func parseAssignment(text string) (configuration.Edit, error) {
	key, value, assigns := strings.Cut(text, "=")
	edit := configuration.Edit{Key: key, After: &value}
	if !assigns {
		var removes bool
		if key, removes = strings.CutSuffix(text, "-"); !removes {
			return edit, fail(exitInvalid, "%q is neither KEY=VALUE nor KEY-; nothing was changed", text)
		}
		edit = configuration.Edit{Key: key}
	}
	if err := configuration.CheckKey(key); err != nil {
		return edit, fail(exitInvalid, "%v; nothing was changed", err)
	}
	return edit, nil
}

func configDiff(c *ctl, _ []string) error {
	if c.settings.Revision == 0 {
		return fail(subcommands.ExitUsageError, "config diff: name the earlier revision with -revision; config history lists them")
	}
	then, err := c.held()
	if err != nil {
		return err
	}
	now, err := c.client.Configuration()
	if err != nil {
		return unreachable(err)
	}
	return c.printEdits(then.Revision, configuration.Diff(stateOf(then), stateOf(now)))
}
