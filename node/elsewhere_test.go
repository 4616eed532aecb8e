package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// dividedCluster is a fleet with a dispatcher in each of two data centres. Upstream u0 is in a,
// the others are in b.
type dividedCluster struct {
	*cluster
	a, b []*testNode
}

func newDividedCluster(t *testing.T, runTime time.Duration) *dividedCluster {
	c := &dividedCluster{cluster: newCluster(t, 0, 3, runTime)}
	for name, dataCentre := range map[string]string{"u0": "a", "u1": "b", "u2": "b"} {
		c.moveUpstream(name, dataCentre)
	}
	for i := range 6 {
		c.dataCentre = []string{"a", "b"}[i%2]
		n := c.start(fmt.Sprintf("%s%d", c.dataCentre, i))
		n.fleet.RecordDivision()
		if i%2 == 0 {
			c.a = append(c.a, n)
		} else {
			c.b = append(c.b, n)
		}
	}
	c.dispatcherOf(c.a)
	c.dispatcherOf(c.b)
	return c
}

// dispatcherOf waits until the running nodes of a data centre agree on a dispatcher.
func (c *dividedCluster) dispatcherOf(nodes []*testNode) *testNode {
	all := c.nodes
	defer func() { c.nodes = all }()
	c.nodes = nodes
	return c.dispatcher()
}

// evacuate evacuates data centre a and waits until it has an effect.
func (c *dividedCluster) evacuate() {
	c.store.Set("config-evacuate/a", nil)
	d := c.dispatcherOf(c.a)
	c.wait("the effect", func() bool { return len(evacuatedUpstreams(d.Node)) == 1 })
	for _, n := range c.a {
		c.wait("a dispatcher elsewhere", func() bool { _, found := n.view.Load().RemoteDispatcher("b"); return found })
	}
}

// origin returns a node of data centre a that does not dispatch.
func (c *dividedCluster) origin() *testNode {
	d := c.dispatcherOf(c.a)
	for _, n := range c.a {
		if n != d && n.runCtx.Err() == nil {
			return n
		}
	}
	return nil
}

// runningIn returns the number of runs on some upstreams.
func (c *dividedCluster) runningIn(names ...string) (running int) {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	for _, name := range names {
		c.upstreams.byName[name].Advance(time.Now())
		running += c.upstreams.byName[name].Running()
	}
	return running
}

// begin submits a job of one task and waits until it runs on one of some upstreams.
func (c *dividedCluster) begin(n *testNode, id string, upstreams ...string) chan intake.Answer {
	done := make(chan intake.Answer, 1)
	go func() { done <- n.submit(context.Background(), id, 1, waitTimeout) }()
	c.wait(id+" runs", func() bool { return c.runningIn(upstreams...) > 0 })
	return done
}

// starts returns the number of starts of the first task of a job.
func (c *dividedCluster) starts(id string) int {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	return c.upstreams.starts[scheduler.Task{Job: id}]
}

// Evacuation and return: a job stays with the dispatcher that it was offered to, and new jobs go
// where there is capacity. A job that moved would run twice or be lost.
func TestJobsOfEvacuatedDataCentre(t *testing.T) {
	c := newDividedCluster(t, 2*time.Second)
	origin := c.origin()
	before := c.begin(origin, "before", "u0")
	c.evacuate()
	require.NoError(t, origin.Ready())
	during := c.begin(origin, "during", "u1", "u2")
	require.Equal(t, intake.Succeeded, (<-before).Outcome)
	c.store.Delete("config-evacuate/a")
	c.wait("the end has an effect", func() bool { name, _ := origin.formerRoutes.choose("after", ""); return name == "a" })
	after := c.begin(origin, "after", "u0")
	for _, done := range []chan intake.Answer{during, after} {
		answer := <-done
		require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
	}
	for _, id := range []string{"before", "during", "after"} {
		require.Equal(t, 1, c.starts(id), id)
	}
	c.wait("the exchange ends", func() bool { return !origin.elsewhere.active() })
}

// A caller whose connection broke before an evacuation, or its end, sends the job to another VM
// after it. The dispatcher that would then get the job does not know its run.
func TestJobSentAgainAfterChangeOfEvacuation(t *testing.T) {
	c := newDividedCluster(t, 2*time.Second)
	origin, other := c.origin(), c.dispatcherOf(c.a)
	c.begin(origin, "x", "u0")
	c.evacuate()
	again := c.begin(other, "x", "u0")
	answer := <-again
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
	c.begin(origin, "y", "u1", "u2")
	c.store.Delete("config-evacuate/a")
	c.wait("the end is known", func() bool { return !other.evacuation.table.State().Contains("a") })
	again = c.begin(other, "y", "u1", "u2")
	answer = <-again
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
	require.Equal(t, 1, c.starts("x"))
	require.Equal(t, 1, c.starts("y"))
}

// While the dispatchers of one data centre are asked for a job, the evacuation ends, and those of
// another one may know it. The first answer must not count for them: the job would run twice.
func TestQueryFromBeforeChangeDoesNotCount(t *testing.T) {
	var f formerRoutes
	j := &intake.Job[Job]{}
	_, begun := f.begin(j, []string{"a"})
	require.True(t, begun)
	f.end(j, []string{"a"}, "", true)
	q, begun := f.begin(j, []string{"b"})
	require.True(t, begun && !q.done)
	f.end(j, []string{"a"}, "", true) // late
	q, begun = f.begin(j, []string{"b"})
	require.False(t, begun || q.done)
}

// The successor of a dispatcher that is killed must adopt the runs of origins elsewhere.
func TestDispatcherElsewhereIsKilled(t *testing.T) {
	c := newDividedCluster(t, 1500*time.Millisecond)
	c.evacuate()
	done := c.begin(c.origin(), "x", "u1", "u2")
	c.dispatcherOf(c.b).kill()
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
	require.Equal(t, 1, c.starts("x"))
}

// The runs of an origin elsewhere that is killed must be stopped, since its caller sends the job
// again.
func TestOriginOfEvacuatedDataCentreIsKilled(t *testing.T) {
	c := newDividedCluster(t, time.Hour)
	c.evacuate()
	origin := c.origin()
	c.begin(origin, "x", "u1", "u2")
	origin.kill()
	c.wait("the run is stopped", func() bool { return c.runningIn("u1", "u2") == 0 })
}

// Without a link to the other data centre, jobs that may run there must be answered so, and new
// ones as not run, at once and with the time of a retry.
func TestLinkToOtherDataCentreFails(t *testing.T) {
	c := newDividedCluster(t, time.Hour)
	c.evacuate()
	origin := c.origin()
	done := c.begin(origin, "x", "u1", "u2")
	for _, n := range c.b {
		n.kill()
	}
	require.Equal(t, intake.Abandoned, (<-done).Outcome)
	began := time.Now()
	answer := origin.submit(context.Background(), "y", 1, waitTimeout)
	require.Equal(t, intake.NotRun, answer.Outcome)
	require.NotZero(t, answer.RetryAfter)
	require.Less(t, time.Since(began), waitTimeout/2, "not held until the deadline")
	c.store.Set("config-evacuate/b", nil)
	c.wait("both are evacuated", func() bool { return origin.evacuation.table.State().Contains("b") })
	require.Equal(t, intake.NotRun, origin.submit(context.Background(), "z", 1, waitTimeout).Outcome)
}

// An evacuation ends shortly before the fleet divides. The former dispatchers are asked only if
// heartbeats are exchanged with them; without, each new job would wait for formerRouteTime.
func TestFormerRouteFromBeforeDivisionIsAsked(t *testing.T) {
	c := newDividedCluster(t, time.Millisecond)
	origin := c.origin()
	require.False(t, origin.elsewhere.active())
	for _, n := range c.b { // as in a large fleet, whose members rarely hear one of another data centre
		n.kill()
	}
	c.wait("no heartbeats from there", func() bool { _, found := origin.view.Load().RemoteDispatcher("b"); return !found })
	origin.formerRoutes.update(time.Now(), []string{"b"}) // as in the undivided fleet
	origin.formerRoutes.update(time.Now(), []string{"a"})
	answer := origin.submit(context.Background(), "x", 1, formerRouteTime/2)
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}

// A former dispatcher knows a job and is lost before it gets the offer. The job must not be answered
// as not run.
func TestJobThatFormerDispatcherKnowsIsNotAnsweredAsNotRun(t *testing.T) {
	c := newDividedCluster(t, time.Millisecond)
	origin := c.origin()
	for _, n := range c.b {
		n.kill()
	}
	c.wait("no heartbeats from there", func() bool { _, found := origin.view.Load().RemoteDispatcher("b"); return !found })
	origin.formerRoutes.update(time.Now(), []string{"b"})
	origin.formerRoutes.update(time.Now(), []string{"a"})
	j, _ := origin.jobs.AddOrJoin(time.Now(), "x", Job{Queue: &testQueue, Deadline: time.Now().Add(waitTimeout)}, 1)
	origin.formerRoutes.begin(j, []string{"b"})
	origin.formerRoutes.end(j, []string{"b"}, "b", true)
	<-j.Done()
	answer, _ := origin.jobs.Answer(j)
	require.Equal(t, intake.Abandoned, answer.Outcome, answer.Reason)
}
