package daemon

import (
	"context"
	"log/slog"
	"maps"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/configstore"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
)

// serviceEntry is the parsed form of an entry under PrefixServices.
type serviceEntry struct {
	text string
	call *catalog.Call // of the last valid text, possibly an earlier one; nil if there was none
}

// initialConfiguration returns the state described by the services file. It is
// in force until a peer or the platform supplies another.
func initialConfiguration(path string) (*configuration.State, error) {
	if path == "" {
		return configuration.New(0, nil), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read services file")
	}
	parts, err := catalog.Split(data)
	if err != nil {
		return nil, errors.Wrapf(err, "parse services file %s", path)
	}
	entries := make([]configuration.Entry, len(parts))
	for i, part := range parts {
		entries[i] = configuration.Entry{Key: serviceKey(part), Value: part.Text}
	}
	return configuration.New(0, entries), nil
}

func serviceKey(part catalog.Part) string {
	return configuration.PrefixServices + part.Service + "/" + part.Call
}

// servicePart is the inverse of serviceKey. ok is false if key is not of its form.
func servicePart(key, text string) (part catalog.Part, ok bool) {
	rest, isService := strings.CutPrefix(key, configuration.PrefixServices)
	service, call, hasCall := strings.Cut(rest, "/")
	return catalog.Part{Service: service, Call: call, Text: text}, isService && hasCall
}

// startConfiguration creates the configSyncer, which applies the initial state,
// and registers the handlers for configuration, status and explain requests.
func (d *Daemon) startConfiguration(initial *configuration.State, self endpoint, seeds []membership.Seed) {
	s := d.settings
	deps := configurationDeps{
		self: self, settings: s, log: d.log, endpoints: d.endpoints, apply: d.applyConfiguration,
		call: func(ctx context.Context, address string, request, response wire.Message) error {
			return d.peers.Call(ctx, address, request, response)
		},
	}
	for _, seed := range seeds {
		if seed.VM != self.VM {
			deps.seeds = append(deps.seeds, endpoint(seed))
		}
	}
	if d.store != nil {
		deps.store = configstore.New(d.store)
	}
	d.configuration = newConfigSyncer(deps, initial)
	peer.Handle(d.peers, d.configuration.handle)
	peer.Handle(d.peers, d.handleStatus)
	peer.Handle(d.peers, d.handleExplain)
}

// endpoints returns the daemons that are not proved to have terminated, including
// this one. Of several incarnations on a VM it returns the newest.
func (d *Daemon) endpoints() []endpoint {
	newest := map[string]membership.Member{}
	for _, m := range d.ownership.View().NotTerminated() {
		if known, found := newest[m.VM]; !found || known.Incarnation < m.Incarnation {
			newest[m.VM] = m
		}
	}
	endpoints := make([]endpoint, 0, len(newest))
	for _, m := range newest {
		endpoints = append(endpoints, endpoint{VM: m.VM, DataCentre: m.DataCentre, Address: m.Address})
	}
	return endpoints
}

// applyConfiguration puts a state into force. Running jobs keep the definition
// of their call. A drained upstream and a removed call get no new work. An entry
// that this release cannot parse keeps its last valid version.
func (d *Daemon) applyConfiguration(s *configuration.State) {
	d.applyServices(s)
	d.applySettings(s)
	if _, drained := s.Get(configuration.PrefixDrains + d.settings.Network.VM); d.operatorDrained.Swap(drained) != drained {
		d.log.Info("operator drain changed", slog.Bool("drained", drained))
	}
	if d.dispatch != nil { // nil while New applies the initial state
		d.dispatch.ApplyDrains()
	}
}

func (d *Daemon) applyServices(s *configuration.State) {
	entries := s.Entries(configuration.PrefixServices)
	parsed := make(map[string]serviceEntry, len(entries))
	var calls []*catalog.Call
	for _, e := range entries {
		part, _ := servicePart(e.Key, e.Value)
		known := d.parsedServices[e.Key]
		if known.text != e.Value || known.call == nil {
			call, err := catalog.ParsePart(part)
			if err != nil {
				d.log.Error("invalid configuration entry, keeping the last valid version", slog.String("key", e.Key), slog.Any("error", err))
				call = known.call
			}
			known = serviceEntry{e.Value, call}
		}
		parsed[e.Key] = known
		if known.call != nil {
			calls = append(calls, known.call)
		}
	}
	if !maps.Equal(parsed, d.parsedServices) {
		d.parsedServices = parsed
		d.catalog.Store(catalog.FromCalls(calls))
	}
}

func (d *Daemon) applySettings(s *configuration.State) {
	values := map[string]string{}
	for _, e := range s.Entries(configuration.PrefixSettings) {
		values[strings.TrimPrefix(e.Key, configuration.PrefixSettings)] = e.Value
	}
	live, err := settings.Override(d.settings, values)
	if err != nil {
		d.log.Error("invalid settings in the configuration", slog.Any("error", err))
	}
	d.liveSettings.Store(&live)
	d.decisions.SetEnabled(live.Logging.Decisions)
}

// drainedUpstream reports whether an operator has drained the upstream.
func (d *Daemon) drainedUpstream(name string) bool {
	_, drained := d.configuration.table.Current().Get(configuration.PrefixDrains + name)
	return drained
}

// validate returns a message for each invalid edit.
func (d *Daemon) validate(edits []configuration.Edit) []string {
	var problems []string
	seen := map[string]bool{}
	for _, e := range edits {
		if seen[e.Key] {
			problems = append(problems, e.Key+": edited twice")
		}
		seen[e.Key] = true
		err := configuration.CheckKey(e.Key)
		if err == nil && e.After != nil {
			err = d.checkValue(e.Key, *e.After)
		}
		if err != nil {
			problems = append(problems, e.Key+": "+err.Error())
		}
	}
	return problems
}

func (d *Daemon) checkValue(key, value string) error {
	switch {
	case strings.HasPrefix(key, configuration.PrefixServices):
		part, ok := servicePart(key, value)
		if !ok {
			return errors.New("the key must be services/SERVICE/CALL")
		}
		_, err := catalog.ParsePart(part)
		return err
	case strings.HasPrefix(key, configuration.PrefixSettings):
		name := strings.TrimPrefix(key, configuration.PrefixSettings)
		_, err := settings.Override(d.settings, map[string]string{name: value})
		return err
	default:
		return configuration.CheckValue(key, value)
	}
}
