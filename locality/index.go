package locality

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// groupKey identifies the upstreams of a service that have a label.
type groupKey struct{ service, label string }

// Group is the set of upstreams of one service that have one label: the name of their rack, or
// any other. Its methods are safe for concurrent use.
type Group struct {
	shard *indexShard
	key   groupKey
	// changes counts the events after which a task that found no capacity may find some.
	changes atomic.Uint64
	// waiting is the run time of the tasks that wait for capacity of the group, in ns; tasks is
	// their number.
	waiting, tasks atomic.Int64

	// The lock of shard guards the fields below.
	members map[string]int // number of additions by name
	sorted  []string       // names of members; nil if they have changed. It is not modified.
}

// Changes returns a number that differs after capacity or members of the group have changed.
func (g *Group) Changes() uint64 { return g.changes.Load() }

// NoteChange records that tasks waiting for the group may find capacity, or need not wait.
func (g *Group) NoteChange() { g.changes.Add(1) }

// AddWaiting adds tasks that begin to wait for the group, and their run time, or subtracts them.
func (g *Group) AddWaiting(tasks int, runTime time.Duration) {
	g.tasks.Add(int64(tasks))
	g.waiting.Add(int64(runTime))
}

// WaitingTasks returns the number of tasks that wait for the group.
func (g *Group) WaitingTasks() int { return int(g.tasks.Load()) }

// Waiting returns the run time of the tasks that wait for the group.
func (g *Group) Waiting() time.Duration { return time.Duration(g.waiting.Load()) }

// Label returns the label of the group.
func (g *Group) Label() string { return g.key.label }

// Members returns the sorted names of the members, which must not be modified.
func (g *Group) Members() []string {
	g.shard.mu.Lock()
	defer g.shard.mu.Unlock()
	if g.sorted == nil {
		g.sorted = slices.Sorted(maps.Keys(g.members))
	}
	return g.sorted
}

const indexShardCount = 16

// Index finds the upstreams of a service by label, and its racks. It is safe for concurrent
// use; the zero value is not usable.
type Index struct {
	shards [indexShardCount]indexShard
}

// indexShard holds the groups whose keys hash to it.
type indexShard struct {
	mu     sync.Mutex // guards the field below and the members of each group
	groups map[groupKey]*Group
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := &Index{}
	for i := range x.shards {
		x.shards[i].groups = map[groupKey]*Group{}
	}
	return x
}

func (x *Index) shard(k groupKey) *indexShard {
	return &x.shards[rendezvous.HashPair(k.service, k.label)%indexShardCount]
}

// racks is the label of the group whose members are the racks of a service. No upstream has it,
// because labels are not empty.
const racks = ""

// Add adds an upstream with its labels, of which rack is one or empty. It returns the groups of
// the upstream. Each Add must be undone by one Remove with the same arguments.
func (x *Index) Add(service, name, rack string, labels []string) []*Group {
	groups := make([]*Group, 0, len(labels))
	for _, label := range labels {
		groups = append(groups, x.add(groupKey{service, label}, name))
	}
	if rack != "" {
		x.add(groupKey{service, racks}, rack)
	}
	return groups
}

// Remove removes an upstream.
func (x *Index) Remove(service, name, rack string, labels []string) {
	for _, label := range labels {
		x.remove(groupKey{service, label}, name)
	}
	if rack != "" {
		x.remove(groupKey{service, racks}, rack)
	}
}

func (x *Index) add(k groupKey, name string) *Group {
	s := x.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[k]
	if g == nil {
		g = &Group{shard: s, key: k, members: map[string]int{}}
		s.groups[k] = g
	}
	g.members[name]++
	g.sorted = nil
	g.NoteChange()
	return g
}

func (x *Index) remove(k groupKey, name string) {
	s := x.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[k]
	if g == nil {
		return
	}
	if g.members[name]--; g.members[name] <= 0 {
		delete(g.members, name)
	}
	g.sorted = nil
	g.NoteChange()
	if len(g.members) == 0 {
		delete(s.groups, k)
	}
}

// Find returns the group of the upstreams of a service that have a label, or nil if there are
// none.
func (x *Index) Find(service, label string) *Group {
	if label == racks {
		return nil
	}
	return x.find(groupKey{service, label})
}

func (x *Index) find(k groupKey) *Group {
	s := x.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[k]
}

// Racks returns the sorted names of the racks of a service, which must not be modified.
func (x *Index) Racks(service string) []string {
	if g := x.find(groupKey{service, racks}); g != nil {
		return g.Members()
	}
	return nil
}
