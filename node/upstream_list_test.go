package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// gatedStore is a store that one VM can be cut off from.
type gatedStore struct {
	store.Store
	cut      atomic.Bool
	unlisted atomic.Bool  // listings fail, other calls do not
	listings atomic.Int64 // current listings of the upstreams
	watches  atomic.Int64 // watches of the upstreams
}

// Range implements store.Store.
func (s *gatedStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	if s.cut.Load() || prefix == "upstreams/" && s.unlisted.Load() {
		return store.Page{}, store.ErrRefused
	}
	if prefix == "upstreams/" && !stale {
		s.listings.Add(1)
	}
	return s.Store.Range(ctx, prefix, after, stale)
}

// Watch implements store.Store.
func (s *gatedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if s.cut.Load() {
		return nil, 0, store.ErrRefused
	}
	if prefix == "upstreams/" {
		s.watches.Add(1)
	}
	events, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.cut.Load() {
		return nil, 0, store.ErrRefused
	}
	return events, revision, err
}

// shortRetention is a time after which nodes no longer take their lists for incomplete.
const shortRetention = time.Second

// awaitCompleteLists waits until no node takes its list for incomplete because it has just started.
func (c *cluster) awaitCompleteLists() {
	for _, n := range c.nodes {
		c.wait("the node has listed long enough", func() bool { return !n.registry.mayMissLapsed(time.Now(), shortRetention) })
		n.applyUpstreams(time.Now())
	}
}

// upstreamCount returns the number of upstreams that a node tracks.
func (n *testNode) upstreamCount() int { return len(n.scheduler.Summaries()) }

// putUpstream writes the entry of an upstream.
func (c *cluster) putUpstream(name string, change func(*scheduler.Upstream)) {
	info := c.upstreams.byName[name].Info
	change(&info)
	value, err := json.Marshal(info)
	require.NoError(c.t, err)
	c.store.Set("upstreams/"+name, value)
}

// joinTest is a cluster of two nodes whose upstreams are full, and an upstream that has not joined.
type joinTest struct {
	*cluster
	joining     *schedulertest.Upstream
	stores      map[string]*gatedStore
	first, next *testNode // the dispatcher and its successor
	filler      chan intake.Answer
}

func newJoinTest(t *testing.T) *joinTest {
	j := &joinTest{
		cluster: newClusterWith(t, 0, 2, 2*time.Second, shortRetention), joining: newModelUpstreams([]string{"joined"}, 0).byName["joined"],
		stores: map[string]*gatedStore{}, filler: make(chan intake.Answer, 1),
	}
	j.joining.Speed = 0.5 // its runs last longer than those of the others
	for _, vm := range []string{"vm0", "vm1"} {
		j.stores[vm] = &gatedStore{Store: j.store}
		j.startWith(vm, j.stores[vm])
	}
	j.first = j.dispatcher()
	j.next = j.otherThan(j.first)
	j.wait("both have listed the upstreams", func() bool { return j.first.upstreamCount() == 2 && j.next.upstreamCount() == 2 })
	j.awaitCompleteLists()
	go func() { j.filler <- j.next.submit(context.Background(), "filler", 4, waitTimeout) }()
	j.wait("the other upstreams are full", func() bool { return j.upstreams.running() == 4 })
	return j
}

// nextStore is the store of the next dispatcher.
func (j *joinTest) nextStore() *gatedStore { return j.stores[j.next.config.VM] }

// killBesideRuns lets the upstream join and tasks run there, kills the dispatcher, and returns the channel
// of their job's answer.
func (j *joinTest) killBesideRuns() <-chan intake.Answer {
	j.upstreams.add(j.joining)
	j.putUpstream("joined", func(*scheduler.Upstream) {})
	j.wait("the dispatcher has listed the upstream that joins", func() bool { return j.first.upstreamCount() == 3 })
	done := make(chan intake.Answer, 1)
	go func() { done <- j.next.submit(context.Background(), "a", 2, waitTimeout) }()
	j.wait("tasks run on the upstream that has joined", func() bool { return j.upstreams.running() == 6 })
	require.Equal(j.t, intake.Succeeded, (<-j.filler).Outcome)
	j.upstreams.renew(j.joining, j.first.term.current())
	j.first.kill()
	return done
}

// An upstream joins after the next dispatcher has lost the store. The tasks that the dispatcher
// starts there run while the next one takes over with the list from before.
func TestNextDispatcherStartsTasksThatRunOnUpstreamItHasNotListed(t *testing.T) {
	j := newJoinTest(t)
	j.nextStore().cut.Store(true)
	answer := <-j.killBesideRuns()
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}

// The entry of a draining upstream goes while it runs tasks, because it cannot reach the store.
func TestNextDispatcherStartsTasksThatRunOnDrainingUpstream(t *testing.T) {
	c := newClusterWith(t, 2, 4, 3*time.Second, shortRetention)
	first := c.dispatcher()
	c.awaitCompleteLists()
	next := c.otherThan(first)
	done := make(chan intake.Answer, 1)
	go func() { done <- next.submit(context.Background(), "a", 6, waitTimeout) }()
	c.wait("tasks run", func() bool { return c.upstreams.running() == 6 })
	leaving := c.upstreams.busiest()
	c.putUpstream(leaving, func(u *scheduler.Upstream) { u.Draining = true })
	c.relist("the upstream drains", leaving, func(e entry) bool { return e.upstream.Draining })
	_, err := c.store.Commit(context.Background(), store.Txn{Deletes: []string{"upstreams/" + leaving}})
	require.NoError(t, err)
	c.relist("the entry has gone", leaving, func(e entry) bool { return !e.valid || !e.lapsedAt.IsZero() })
	first.kill()
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}

// relist lets all nodes read the list of upstreams until a condition holds for the entry of one.
func (c *cluster) relist(what, name string, holds func(entry) bool) {
	for _, n := range c.nodes {
		c.wait(what, func() bool {
			wake(n.relistSignal)
			n.registry.mu.Lock()
			defer n.registry.mu.Unlock()
			return holds(n.registry.entries["upstreams/"+name])
		})
	}
}

// A takeover reads the changes since the last listings, which costs one call however many
// upstreams there are.
func TestTakeoverListsUpstreamsAgain(t *testing.T) {
	c := newClusterWith(t, 0, 2, 50*time.Millisecond, 4*time.Second)
	stores := map[string]*gatedStore{}
	for _, vm := range []string{"vm0", "vm1"} {
		stores[vm] = &gatedStore{Store: c.store}
		c.startWith(vm, stores[vm])
	}
	first := c.dispatcher()
	next := c.otherThan(first)
	for _, n := range c.nodes {
		c.wait("the node has listed long enough", func() bool { return !n.registry.mayMissLapsed(time.Now(), n.config.LapsedRetention) })
		n.applyUpstreams(time.Now())
	}
	s := stores[next.config.VM]
	require.Zero(t, s.listings.Load()+s.watches.Load())
	first.kill()
	c.wait("the next one dispatches", func() bool { return next.scheduler.Dispatching() && next.registry.currentSince(next.term.startTime()) })
	require.Zero(t, s.listings.Load())
	require.LessOrEqual(t, s.watches.Load(), int64(2))
	answer := next.submit(context.Background(), "a", 2, waitTimeout)
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}

// Another writer overwrites the entry of an upstream that runs tasks.
func TestNextDispatcherStartsTasksThatRunOnUpstreamWithOddEntry(t *testing.T) {
	c := newClusterWith(t, 2, 4, 3*time.Second, shortRetention)
	first := c.dispatcher()
	c.awaitCompleteLists()
	next := c.otherThan(first)
	done := make(chan intake.Answer, 1)
	go func() { done <- next.submit(context.Background(), "a", 6, waitTimeout) }()
	c.wait("tasks run", func() bool { return c.upstreams.running() == 6 })
	odd := c.upstreams.busiest()
	c.store.Set("upstreams/"+odd, []byte("{"))
	c.relist("the entry is odd", odd, func(e entry) bool { return !e.valid || !e.lapsedAt.IsZero() })
	first.kill()
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}

// An upstream joins, and its entry goes, while the next dispatcher cannot read the store.
func TestNextDispatcherStartsTasksThatRunOnUpstreamThatJoinedAndLapsed(t *testing.T) {
	joinAndLapse(t, func(*cluster) {})
}

// The same, and the store has dropped its history: what has joined and lapsed cannot be read.
func TestNextDispatcherStartsTasksThatRunOnUpstreamThatDroppedHistoryHides(t *testing.T) {
	joinAndLapse(t, func(c *cluster) { c.store.Compact() })
}

// joinAndLapse plays an upstream that joins, and whose entry goes while it runs tasks, between two
// readings of the next dispatcher. before is called before the first dispatcher is killed.
func joinAndLapse(t *testing.T, before func(*cluster)) {
	c := newClusterWith(t, 0, 2, 5*time.Second, 10*time.Second)
	joined := newModelUpstreams([]string{"joined"}, 0).byName["joined"]
	joined.Speed = 0.5
	stores := map[string]*gatedStore{}
	for _, vm := range []string{"vm0", "vm1"} {
		stores[vm] = &gatedStore{Store: c.store}
		c.startWith(vm, stores[vm])
	}
	first := c.dispatcher()
	next := c.otherThan(first)
	c.wait("both have listed the upstreams", func() bool { return first.upstreamCount() == 2 && next.upstreamCount() == 2 })
	for _, n := range c.nodes {
		c.wait("the node has listed long enough", func() bool { return !n.registry.mayMissLapsed(time.Now(), n.config.LapsedRetention) })
		n.applyUpstreams(time.Now())
	}
	full, done := make(chan intake.Answer, 1), make(chan intake.Answer, 1)
	go func() { full <- next.submit(context.Background(), "filler", 4, waitTimeout) }()
	c.wait("the other upstreams are full", func() bool { return c.upstreams.running() == 4 })
	stores[next.config.VM].cut.Store(true)
	c.upstreams.add(joined)
	c.putUpstream("joined", func(*scheduler.Upstream) {})
	c.wait("the dispatcher has listed the upstream that joins", func() bool { return first.upstreamCount() == 3 })
	go func() { done <- next.submit(context.Background(), "a", 2, waitTimeout) }()
	c.wait("tasks run on the upstream that has joined", func() bool { return c.upstreams.running() == 6 })
	_, err := c.store.Commit(context.Background(), store.Txn{Deletes: []string{"upstreams/joined"}})
	require.NoError(t, err)
	c.wait("the dispatcher has seen the entry go", func() bool {
		first.registry.mu.Lock()
		defer first.registry.mu.Unlock()
		return !first.registry.entries["upstreams/joined"].lapsedAt.IsZero()
	})
	stores[next.config.VM].cut.Store(false)
	before(c)
	require.Equal(t, intake.Succeeded, (<-full).Outcome)
	c.upstreams.renew(joined, first.term.current())
	first.kill()
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}

// A dispatcher that was paused has not heard who has dispatched meanwhile.
func TestPausedDispatcherConfirmsItsOldList(t *testing.T) {
	c := newClusterWith(t, 0, 2, time.Second, 4*time.Second)
	s := &gatedStore{Store: c.store}
	c.startWith("vm0", s)
	n := c.dispatcher()
	c.awaitCompleteLists()
	s.cut.Store(true)
	n.restartTerm(time.Now(), 5*time.Second)
	_, failure := n.scheduler.Offer(time.Now(), scheduler.Job{
		ID: "a", Origin: "vm1", Submission: 1, Service: "rota", Queue: "alert", Tasks: []int{0}, Resumed: true, PreviousToken: 7, Sent: time.Now(),
		Estimate: 100 * time.Millisecond, Size: scheduler.Size{MilliCPU: 7000}, Deadline: time.Now().Add(10 * time.Second), Term: n.termFor("vm1"),
	})
	require.Nil(t, failure)
	n.pollers.wakeAll()
	c.wait("the job has been released", func() bool { o, ok := n.scheduler.Offered("a"); return ok && !o.Held })
	o, _ := n.scheduler.Offered("a")
	require.Equal(t, scheduler.HoldTimedOut, o.Basis.Hold)
}

// An upstream joins while a dispatcher is paused, which lists it after the pause. If the dispatcher is
// lost before its next heartbeat, nobody knows that it has listed the upstream.
func TestUpstreamListedInDoubtGetsTasksAtOnce(t *testing.T) {
	c := newClusterWith(t, 0, 1, 3*time.Second, shortRetention)
	s := &gatedStore{Store: c.store}
	c.startWith("vm0", s)
	n := c.dispatcher()
	c.awaitCompleteLists()
	done := make(chan intake.Answer, 2)
	submit := func(id string) { done <- n.submit(context.Background(), id, 2, waitTimeout) }
	go submit("filler")
	c.wait("the upstream is full", func() bool { return c.upstreams.running() == 2 })
	s.cut.Store(true)
	c.upstreams.add(newModelUpstreams([]string{"joined"}, 0).byName["joined"])
	c.putUpstream("joined", func(*scheduler.Upstream) {})
	n.restartTerm(time.Now(), time.Second)
	go submit("a")
	c.wait("the job is offered", func() bool { _, offered := n.scheduler.Offered("a"); return offered })
	require.Equal(t, 1, n.upstreamCount())
	before := time.Now()
	s.cut.Store(false)
	c.wait("tasks run on the upstream that has joined", func() bool { return c.upstreams.running() == 4 })
	require.Greater(t, time.Since(before), joinDelay, "it is listed later")
	for range 2 {
		require.Equal(t, intake.Succeeded, (<-done).Outcome)
	}
}

// A VM counts as lost that is not listed, or that reports a term of its own.
func TestIdleUpstreamsAreNotWatchedWhileMemberMayDispatch(t *testing.T) {
	c := newCluster(t, 1, 1, time.Second)
	n := c.dispatcher()
	n.kill() // updateTerm is called below, and may be called by one goroutine only
	rival := fleet.Member{VM: "vm9", DataCentre: "dc", Address: freeAddress(t), Incarnation: uint64(time.Now().UnixNano()) * 2, Weight: 1}
	for range 5 {
		now := time.Now()
		n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: rival, Term: 5}, true)
		n.updateTerm(now)
	}
	require.Equal(t, scheduler.PeerLost, n.scheduler.PeerLoss())
	now := time.Now()
	_, due, _, _ := n.scheduler.NextPoll(now, "u0")
	require.True(t, due)
}
