package node

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/evacuation"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
)

const (
	// evacuationFinishTime is the time for which the dispatcher of an evacuated data centre in a
	// divided fleet still starts tasks of jobs that it has, which no other dispatcher may take
	// over. With the time until a VM learns of the key (3 s) and the life of a start order (0.4 s),
	// it is below the 5 s that the platform allows.
	evacuationFinishTime = time.Second
	// maxColdLeft is the longest time for which an upstream may report that it remains cold.
	maxColdLeft = 10 * time.Minute
	// maxLoggedKeys limits the malformed keys and unknown names that are remembered as logged.
	maxLoggedKeys = 1000
)

// evacuationState holds what a node knows about evacuated data centres.
type evacuationState struct {
	table evacuation.Table

	mu        sync.Mutex // guards the fields below
	logged    map[string]bool
	unchecked bool // whether checkEvacuatedNames has yet to look at the names
}

// decodeEvacuation returns the data centre that a key evacuates, or an empty string. A malformed
// key is logged once.
func (n *Node) decodeEvacuation(key string) string {
	name, err := n.deps.Decoder.Evacuation(key)
	if err == nil {
		return name
	}
	if n.evacuation.noteLogged(key) {
		n.log.Warn("evacuation key ignored", slog.String("key", key), slog.Any("error", err))
	}
	return ""
}

// noteLogged reports whether something is to be logged for the first time.
func (e *evacuationState) noteLogged(what string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.logged == nil || len(e.logged) >= maxLoggedKeys {
		e.logged = map[string]bool{}
	}
	known := e.logged[what]
	e.logged[what] = true
	return !known
}

// listEvacuations takes the set from a listing. A stale listing has no certain revision, so only
// a current one counts; VMs that make stale ones learn of the set from heartbeats.
func (n *Node) listEvacuations(items []store.Item, revision int64, currentAt time.Time) {
	if currentAt.IsZero() {
		return
	}
	state := evacuation.State{Revision: revision}
	for _, item := range items {
		if name := n.decodeEvacuation(item.Key); name != "" {
			state.DataCentres = append(state.DataCentres, name)
		}
	}
	n.noteEvacuations(n.evacuation.table.Replace(time.Now(), state), "store")
}

// changeEvacuations applies the changes that a watch has returned.
func (n *Node) changeEvacuations(changes []store.Event) {
	var events []evacuation.Event
	upTo := int64(0)
	for _, c := range changes {
		upTo = max(upTo, c.Revision)
		if name := n.decodeEvacuation(c.Key); name != "" {
			events = append(events, evacuation.Event{DataCentre: name, Revision: c.Revision, Ended: c.Deleted})
		}
	}
	n.noteEvacuations(n.evacuation.table.Apply(time.Now(), events, upTo), "store")
}

// confirmEvacuations notes that a watch has returned all changes up to a revision.
func (n *Node) confirmEvacuations(revision int64) {
	n.evacuation.table.Apply(time.Now(), nil, revision)
}

// learnEvacuations takes the set from a heartbeat if it is newer.
func (n *Node) learnEvacuations(h *wire.FleetHeartbeat) {
	state := evacuation.State{Revision: h.EvacuationRevision, DataCentres: h.Evacuated}
	n.noteEvacuations(n.evacuation.table.Replace(time.Now(), state), h.From.VM)
}

// noteEvacuations logs a change of the set and puts it into force.
func (n *Node) noteEvacuations(c evacuation.Change, source string) {
	if !c.Any() {
		return
	}
	n.log.Info("evacuated data centres changed", slog.Any("begun", c.Begun), slog.Any("ended", c.Ended),
		slog.Int64("revision", c.Revision), slog.String("source", source))
	n.evacuation.mu.Lock()
	n.evacuation.unchecked = true
	n.evacuation.mu.Unlock()
	if len(c.Begun) > 0 {
		time.AfterFunc(evacuationFinishTime, func() { n.applyUpstreams(time.Now()) })
	}
	n.applyUpstreams(time.Now())
	n.wakeTermLoop()
}

// evacuatedAt returns the data centres whose upstreams get no tasks.
func (n *Node) evacuatedAt(now time.Time, v *fleet.View) []string {
	return slices.DeleteFunc(slices.Clone(n.evacuation.table.State().DataCentres), func(name string) bool {
		return v.Scope == fleet.ScopeDataCentre && now.Sub(n.evacuation.table.BegunAt(name)) < evacuationFinishTime
	})
}

// checkEvacuatedNames logs the names in the set that are those of no data centre with a VM or an
// upstream. They have no effect.
func (n *Node) checkEvacuatedNames(v *fleet.View) {
	e := &n.evacuation
	e.mu.Lock()
	check := e.unchecked && time.Since(n.started) > startupGraceAlone
	e.unchecked = e.unchecked && !check
	e.mu.Unlock()
	if !check {
		return
	}
	for _, name := range e.table.State().DataCentres {
		if name != n.config.DataCentre && !n.registry.hasDataCentre(name) &&
			!slices.ContainsFunc(n.fleet.Peers(), func(m fleet.Member) bool { return m.DataCentre == name }) && e.noteLogged("unknown "+name) {
			n.log.Warn("evacuated data centre is unknown, the key has no effect", slog.String("data_centre", name), slog.String("scope", v.Scope.String()))
		}
	}
}

// hasDataCentre reports whether an upstream of a data centre is known.
func (r *registry) hasDataCentre(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.valid && e.upstream.DataCentre == name {
			return true
		}
	}
	return false
}

// coldUntil returns when an upstream whose entry has just been read is no longer slow after its
// start. An implausible time is logged and ignored.
func (n *Node) coldUntil(now time.Time, u *scheduler.Upstream) time.Time {
	switch {
	case u.ColdLeft == 0:
		return time.Time{}
	case u.ColdLeft < 0 || u.ColdLeft > maxColdLeft:
		if n.evacuation.noteLogged("cold " + u.Name) {
			n.log.Warn("time for which an upstream remains cold ignored", slog.String("upstream", u.Name), slog.Int64("cold_ms", u.ColdLeft.Milliseconds()))
		}
		return time.Time{}
	}
	return now.Add(u.ColdLeft)
}
