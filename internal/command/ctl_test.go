package command

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/operators"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// fakeBackend implements the operators' API in memory.
type fakeBackend struct {
	beforeChange   func(*fakeBackend)  // called before each change, to make a concurrent one
	changeResponse *api.ChangeResponse // overrides the response to a change

	mu       sync.Mutex // guards the fields below
	state    *configuration.State
	history  []api.StoredChange
	status   api.StatusReport
	requests []*api.ChangeRequest
}

func (b *fakeBackend) Configuration() *api.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := &api.Configuration{VM: "vm0", Revision: b.state.Revision()}
	for _, e := range b.state.Entries("") {
		current.Entries = append(current.Entries, api.ConfigurationEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return current
}

func (b *fakeBackend) Change(_ context.Context, r *api.ChangeRequest) *api.ChangeResponse {
	if b.beforeChange != nil {
		b.beforeChange(b)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
	if b.changeResponse != nil {
		return b.changeResponse
	}
	change := &configuration.Change{ID: r.ID, Base: r.Base}
	for _, e := range r.Edits {
		change.Edits = append(change.Edits, configuration.Edit(e))
	}
	d, err := configuration.Plan(b.state, configuration.Stored{State: b.state}, change)
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		response := &api.ChangeResponse{Outcome: api.ChangeConflict, Base: conflict.Base, Revision: conflict.Current}
		for _, e := range conflict.Theirs {
			response.Theirs = append(response.Theirs, api.ConfigurationEdit(e))
		}
		return response
	}
	b.accept(d, r.Author)
	return &api.ChangeResponse{Outcome: api.ChangeAccepted, Revision: d.Revision}
}

// accept applies an accepted change. The caller holds mu.
func (b *fakeBackend) accept(d configuration.Decision, author string) {
	b.state = d.Next
	stored := api.StoredChange{Revision: d.Revision, Author: author}
	for _, e := range d.AppliedEdits {
		stored.Edits = append(stored.Edits, api.StoredEdit{Key: e.Key, Before: e.Before})
	}
	b.history = append([]api.StoredChange{stored}, b.history...)
}

func (b *fakeBackend) set(key, value string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	edit := configuration.Edit{Key: key, After: &value}
	if before, found := b.state.Get(key); found {
		edit.Before = &before
	}
	d, _ := configuration.Plan(b.state, configuration.Stored{State: b.state},
		&configuration.Change{Edits: []configuration.Edit{edit}})
	b.accept(d, "another")
}

func (b *fakeBackend) History(context.Context) (*api.HistoryResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &api.HistoryResponse{Changes: b.history}, nil
}

func (b *fakeBackend) Status(context.Context) *api.StatusReport { return &b.status }

func (b *fakeBackend) Explain(_ context.Context, id submission.ID) *api.Explanation {
	return &api.Explanation{VM: "vm1", State: "running", Dispatcher: "vm2", Open: 3, Waiting: 2, TotalWaiting: 7,
		Placements: []api.Placement{{Task: 3, Attempt: 1, Upstream: "u-" + id.Caller + "-" + id.Key, State: "started", AgeUS: 2500}}}
}

// startBackend serves a backend and returns its address.
func startBackend(t *testing.T, b *fakeBackend) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: operators.Handler(b), CloseOnShutdown: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		// Shutdown has no effect on a server that has not started to serve, so
		// the listener is closed instead.
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func newFakeBackend() *fakeBackend {
	b := &fakeBackend{state: configuration.New(0, nil)}
	b.set("quotas/a", "1")
	b.set("quotas/b", "2")
	return b
}

// runCtl runs a command line and returns its exit code and its output, including
// the error message.
func runCtl(t *testing.T, servers, line string) (subcommands.ExitStatus, string) {
	words := strings.Fields(line)
	for _, registered := range CtlCommands() {
		if registered.Name() != words[0] {
			continue
		}
		command := registered.(*ctlCommand)
		f := flag.NewFlagSet(words[0], flag.ContinueOnError)
		command.SetFlags(f)
		require.NoError(t, f.Parse(append([]string{"-server", servers, "-author", "me", "-wait-timeout", "50ms"}, words[1:]...)))
		args, err := parseInterleaved(f)
		require.NoError(t, err)
		sub, args, ok := command.find(args)
		if !ok {
			return subcommands.ExitUsageError, command.Usage()
		}
		require.NoError(t, command.binder.Resolve(func(string) (string, bool) { return "", false }))
		var out bytes.Buffer
		s := command.settings.Ctl
		err = sub.run(&ctl{s, operators.NewClient(s.Servers, s.Timeout), &out, io.Discard}, args)
		if err != nil {
			out.WriteString(err.Error())
		}
		return exitCode(err), out.String()
	}
	t.Fatalf("no command %s", words[0])
	return 0, ""
}

func exitCode(err error) subcommands.ExitStatus {
	var failure *ctlError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &failure):
		return failure.status
	}
	return subcommands.ExitFailure
}

func writeFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "services.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestCtlCommands(t *testing.T) {
	good := writeFile(t, string(examples.RotaDesk))
	bad := writeFile(t, "version: 1\nservices:\n  a:\n    calls:\n      b:\n        idempotent: 7\n        tasks: {count: 0}\n")
	agreed := api.StatusReport{Revision: 3, Converged: true, VMs: []api.VMStatus{{VM: "vm0", Revision: 3, UpToDate: true, Ready: true}}}
	behind := api.StatusReport{Revision: 3, VMs: []api.VMStatus{
		{VM: "vm0", Revision: 3, UpToDate: true}, {VM: "vm1", DataCentre: "fes", Revision: 2},
		{VM: "vm2", DataCentre: "fes", Unreachable: "connection refused"},
	}}
	for name, c := range map[string]struct {
		line    string
		prepare func(*fakeBackend)
		status  subcommands.ExitStatus
		shows   []string
		changed bool
	}{
		"get":                  {"config get quotas/a", nil, 0, []string{"quotas/a", "1"}, false},
		"get as JSON":          {"config get -o json", nil, 0, []string{`"revision": 2`}, false},
		"get earlier":          {"config get quotas/ -revision 1", nil, 0, []string{"quotas/a"}, false},
		"get unknown revision": {"config get -revision 9", nil, exitInvalid, []string{"not in the history"}, false},
		"set":                  {"config set quotas/a=5 quotas/c=7", nil, 0, []string{"revision 3"}, true},
		"set the same":         {"config set quotas/a=1", nil, 0, []string{"nothing to change"}, false},
		"remove":               {"config set quotas/a-", nil, 0, []string{"revision 3"}, true},
		"remove missing key":   {"config set quotas/z-", nil, exitInvalid, []string{"not set"}, false},
		"set a bad key":        {"config set nothing=1", nil, exitInvalid, []string{"starts with none of"}, false},
		"set without value":    {"config set quotas/a", nil, exitInvalid, []string{"KEY=VALUE"}, false},
		"no subcommand":        {"config", nil, subcommands.ExitUsageError, []string{"config get"}, false},
		"conflict": {"config set quotas/a=5", func(b *fakeBackend) {
			b.beforeChange = func(b *fakeBackend) { b.set("quotas/a", "4") }
		}, exitConflict, []string{"revision 2", "revision 3", "- 1", "+ 4", "nothing was changed"}, true},
		"invalid": {"config set quotas/a=x", func(b *fakeBackend) {
			b.changeResponse = &api.ChangeResponse{Outcome: api.ChangeInvalid, Problems: []string{"quotas/a: bad"}}
		}, exitInvalid, []string{"quotas/a: bad", "nothing was changed"}, false},
		"unavailable": {"config set quotas/a=5", func(b *fakeBackend) {
			b.changeResponse = &api.ChangeResponse{Outcome: api.ChangeUnavailable, Reason: "the service is down"}
		}, subcommands.ExitFailure, []string{"the service is down", "nothing was changed"}, false},
		"unknown": {"config set quotas/a=5 -id abc", func(b *fakeBackend) {
			b.changeResponse = &api.ChangeResponse{Outcome: api.ChangeUnknown, Reason: "lost"}
		}, exitUnknown, []string{"-id abc", "at most once"}, false},
		"diff finds":               {"config diff -revision 1", nil, exitDiffers, []string{"quotas/b", "+ 2"}, false},
		"diff finds none":          {"config diff -revision 2", nil, 0, nil, false},
		"history":                  {"config history", nil, 0, []string{"quotas/b", "another"}, false},
		"schema check":             {"schema check " + good, nil, 0, []string{"is valid"}, false},
		"schema check bad":         {"schema check " + bad, nil, exitInvalid, []string{":6:21:", ":7:24:", "2 problems"}, false},
		"schema push":              {"schema push " + good, nil, 0, []string{"revision 3"}, true},
		"schema push bad":          {"schema push " + bad, nil, exitInvalid, []string{"nothing was changed"}, false},
		"schema push missing file": {"schema push /nowhere.yaml", nil, exitInvalid, []string{"no such file"}, false},
		"schema diff":              {"schema diff " + good, nil, exitDiffers, []string{"services/rota-desk/"}, false},
		"schema show":              {"schema show", nil, 0, []string{"version: 1"}, false},
		"drain":                    {"drain vm7", nil, 0, []string{"revision 3"}, true},
		"explain":                  {"explain museum k1", nil, 0, []string{"running at vm1", "vm2 dispatches it", "2 of them waiting", "u-museum-k1", "started"}, false},
		"explain as JSON":          {"explain museum k1 -o json", nil, 0, []string{`"waiting": 2`}, false},
		"explain no key":           {"explain museum", nil, subcommands.ExitUsageError, []string{"explain CALLER KEY"}, false},
		"undrain unknown":          {"undrain vm7", nil, exitInvalid, []string{"not set"}, false},
		"status":                   {"status", func(b *fakeBackend) { b.status = agreed }, 0, []string{"agreed", "ready"}, false},
		"status differs": {"status", func(b *fakeBackend) { b.status = behind }, exitNotInForce,
			[]string{"differs", "vm1", "connection refused"}, false},
		"wait": {"config set quotas/a=5 -wait", func(b *fakeBackend) { b.status = agreed }, 0, []string{"revision 3"}, true},
		"wait times out": {"config set quotas/a=5 -wait", func(b *fakeBackend) { b.status = behind }, exitNotInForce,
			[]string{"vm1 (fes): holds revision 2", "vm2 (fes): unreachable"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend()
			if c.prepare != nil {
				c.prepare(b)
			}
			status, output := runCtl(t, startBackend(t, b), c.line)
			require.Equal(t, c.status, status, output)
			for _, text := range c.shows {
				require.Contains(t, output, text)
			}
			require.Equal(t, c.changed, b.state.Revision() > 2, "whether the configuration changed")
		})
	}
}

func TestCtlRetriesOnNextDaemonWithSameChangeID(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	b := newFakeBackend()
	client := operators.NewClient([]string{closed, startBackend(t, b)}, time.Minute)
	after := "9"
	response, err := client.Change(&api.ChangeRequest{ID: "x", Base: 2, Edits: []api.ConfigurationEdit{{Key: "quotas/n", After: &after}}})
	require.NoError(t, err)
	require.Equal(t, api.ChangeAccepted, response.Outcome)
	require.Equal(t, "x", b.requests[0].ID)
	require.True(t, b.requests[0].Retry)
}

// The help of each command fits a screen of 40 lines.
func TestCtlHelpFitsScreen(t *testing.T) {
	for _, registered := range CtlCommands() {
		f := flag.NewFlagSet(registered.Name(), flag.ContinueOnError)
		var help bytes.Buffer
		f.SetOutput(&help)
		help.WriteString(registered.Usage())
		registered.SetFlags(f)
		f.PrintDefaults()
		require.LessOrEqual(t, strings.Count(help.String(), "\n"), 40, help.String())
	}
}
