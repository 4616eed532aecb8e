package node

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// waitTimeout bounds the waits for expected events.
const waitTimeout = 30 * time.Second

const testLease = time.Second

// modelUpstreams is a client of model upstreams in this process.
type modelUpstreams struct {
	runTime time.Duration

	mu          sync.Mutex // guards the fields below
	byName      map[string]*schedulertest.Upstream
	starts      map[scheduler.Task]int
	active      map[scheduler.Task]int
	overlapping []scheduler.Task
	lostStops   int // number of stop orders that get no answer and have no effect
}

func newModelUpstreams(names []string, runTime time.Duration) *modelUpstreams {
	u := &modelUpstreams{
		runTime: runTime, byName: map[string]*schedulertest.Upstream{},
		starts: map[scheduler.Task]int{}, active: map[scheduler.Task]int{},
	}
	for _, name := range names {
		info := scheduler.Upstream{Name: name, Service: "rota", Size: scheduler.Size{MilliCPU: 16000, MemoryMB: 1000}}
		model := schedulertest.New(time.Now(), info, testLease)
		u.watch(model)
		u.byName[name] = model
	}
	return u
}

// watch counts the runs of an upstream by task.
func (u *modelUpstreams) watch(model *schedulertest.Upstream) {
	model.OnStart = func(_ time.Time, run scheduler.Run) {
		u.starts[run.Task]++
		u.active[run.Task]++
		if u.active[run.Task] > 1 {
			u.overlapping = append(u.overlapping, run.Task)
		}
	}
	model.OnCompletion = func(_ time.Time, run scheduler.Run, _ scheduler.CompletionKind) { u.active[run.Task]-- }
}

// add adds an upstream.
func (u *modelUpstreams) add(model *schedulertest.Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.watch(model)
	u.byName[model.Info.Name] = model
}

// renew renews the lease of an upstream's runs, as a poll does.
func (u *modelUpstreams) renew(model *schedulertest.Upstream, token int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	model.Poll(now, scheduler.Poll{Token: token, Until: model.Clock(now) + testLease.Milliseconds()/2})
}

func (u *modelUpstreams) Start(_ context.Context, s scheduler.Start) (scheduler.OrderResult, int64, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, model := range u.byName {
		model.Advance(time.Now()) // also if nobody polls it
	}
	result, clock := u.byName[s.Upstream.Name].Start(time.Now(), s, scheduler.Size{MilliCPU: 7000}, u.runTime)
	return result, clock, nil
}

func (u *modelUpstreams) Stop(_ context.Context, s scheduler.Stop) (scheduler.OrderResult, int64, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lostStops > 0 {
		u.lostStops--
		return scheduler.OrderUnanswered, 0, errors.New("stop order lost")
	}
	result, clock := u.byName[s.Upstream.Name].Stop(time.Now(), s)
	return result, clock, nil
}

func (u *modelUpstreams) Poll(ctx context.Context, poll scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error) {
	end := time.Now().Add(poll.Wait)
	model := u.byName[poll.Upstream.Name]
	for {
		u.mu.Lock()
		result, report := model.Poll(time.Now(), poll)
		u.mu.Unlock()
		if len(report.Completions) > 0 || result != scheduler.PollAnswered || !time.Now().Before(end) || ctx.Err() != nil {
			return result, report, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// busiest returns an upstream with the most runs.
func (u *modelUpstreams) busiest() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	busiest := ""
	for name, model := range u.byName {
		if busiest == "" || model.Running() > u.byName[busiest].Running() {
			busiest = name
		}
	}
	return busiest
}

// running returns the number of runs on all upstreams.
func (u *modelUpstreams) running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, model := range u.byName {
		model.Advance(time.Now())
		n += model.Running()
	}
	return n
}

// testDecoder decodes an upstream from the JSON form of scheduler.Upstream, and a
// configuration from its version alone.
type testDecoder struct{}

func (testDecoder) Configuration(item store.Item) (*routing.Table, error) {
	var version int64
	if err := json.Unmarshal(item.Value, &version); err != nil {
		return nil, err
	}
	return routing.NewTable(version, item.Revision, 0, []routing.Queue{testQueue}), nil
}

var testQueue = routing.Queue{
	Name: "alert", Host: "h", Prefix: "/", Service: "rota", MaxAttempts: 3, Stretch: 10, Slack: time.Second,
}

func (testDecoder) Evacuation(key string) (string, error) {
	name, _ := strings.CutPrefix(key, "config-evacuate/")
	if name == key {
		return "", nil
	}
	if name == "" {
		return "", errors.New("no name")
	}
	return name, nil
}

func (testDecoder) Upstream(item store.Item) (scheduler.Upstream, error) {
	var u scheduler.Upstream
	if err := json.Unmarshal(item.Value, &u); err != nil {
		return u, err
	}
	if u.Name == "" {
		return u, errors.New("no name")
	}
	return u, nil
}

// cluster is a set of nodes with a store and upstreams.
type cluster struct {
	t         *testing.T
	store     *store.Memory
	upstreams *modelUpstreams
	nodes     []*testNode
	// lapsedRetention is that of the nodes. For so long after a start, a node knows that its
	// list may be incomplete.
	lapsedRetention time.Duration
	dataCentre      string // of the nodes that are started; "dc" if empty
}

type testNode struct {
	*Node
	stop    context.CancelFunc
	stopped chan struct{}
}

// testFrontend is a frontend whose Shutdown waits for the last job.
type testFrontend struct{ node *Node }

func (f testFrontend) Shutdown(ctx context.Context) error {
	for f.node.jobs.Len() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return ctx.Err()
}

func newCluster(t *testing.T, nodes, upstreams int, runTime time.Duration) *cluster {
	return newClusterWith(t, nodes, upstreams, runTime, 10*time.Second)
}

func newClusterWith(t *testing.T, nodes, upstreams int, runTime, lapsedRetention time.Duration) *cluster {
	c := &cluster{t: t, store: store.NewMemory(), lapsedRetention: lapsedRetention}
	var names []string
	for i := range upstreams {
		names = append(names, fmt.Sprintf("u%d", i))
	}
	c.upstreams = newModelUpstreams(names, runTime)
	for _, name := range names {
		value, err := json.Marshal(c.upstreams.byName[name].Info)
		require.NoError(t, err)
		c.store.Set("upstreams/"+name, value)
	}
	c.store.Set("upstreams/invalid", []byte("{"))
	c.store.Set("config", []byte("1"))
	for i := range nodes {
		c.start(fmt.Sprintf("vm%d", i))
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.kill()
		}
		require.Empty(t, c.upstreams.overlapping, "tasks with two runs at the same time")
	})
	return c
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func (c *cluster) start(vm string, seeds ...string) *testNode {
	return c.startWith(vm, c.store, seeds...)
}

// startWith starts a node with a store of its own.
func (c *cluster) startWith(vm string, s store.Store, seeds ...string) *testNode {
	config := Config{
		VM: vm, DataCentre: cmp.Or(c.dataCentre, "dc"), PeerAddress: freeAddress(c.t), Weight: 400, LeaseMax: testLease, LapsedRetention: c.lapsedRetention,
		DrainDelay: 50 * time.Millisecond, DrainTimeout: waitTimeout, Seeds: seeds,
		ConfigurationKey: "config", UpstreamPrefix: "upstreams/", MemberPrefix: "vm/", RosterPrefix: "roster/",
	}
	n := &testNode{stopped: make(chan struct{})}
	n.Node = New(config, Dependencies{
		Store: s, Upstreams: c.upstreams, Decoder: testDecoder{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: NewMetrics(),
	})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.stopped)
		if err := n.Run(ctx, testFrontend{n.Node}); err != nil {
			c.t.Errorf("%s: %v", vm, err)
		}
	}()
	c.nodes = append(c.nodes, n)
	return n
}

// kill stops a node without a graceful stop.
func (n *testNode) kill() {
	n.Node.cancelRun()
	<-n.stopped
}

// wait waits until a condition holds.
func (c *cluster) wait(what string, holds func() bool) {
	require.Eventually(c.t, holds, waitTimeout, 5*time.Millisecond, what)
}

// dispatcher waits until all running nodes agree on a dispatcher, and returns it.
func (c *cluster) dispatcher() *testNode {
	var found *testNode
	c.wait("one dispatcher", func() bool {
		found = nil
		vm := ""
		for _, n := range c.nodes {
			if n.runCtx.Err() != nil {
				continue
			}
			v := n.view.Load()
			if v.Dispatcher.VM == "" || vm != "" && v.Dispatcher.VM != vm {
				return false
			}
			vm = v.Dispatcher.VM
			if n.config.VM == vm && n.scheduler.Dispatching() {
				found = n
			}
		}
		return found != nil
	})
	return found
}

func (c *cluster) otherThan(excluded *testNode) *testNode {
	for _, n := range c.nodes {
		if n != excluded && n.runCtx.Err() == nil {
			return n
		}
	}
	return nil
}

func (n *testNode) submit(ctx context.Context, id string, tasks int, deadline time.Duration) intake.Answer {
	return n.Submit(ctx, id, Job{
		Queue: &testQueue, Size: scheduler.Size{MilliCPU: 7000}, Estimate: 100 * time.Millisecond,
		Deadline: time.Now().Add(deadline), Version: 1,
	}, tasks)
}

// Jobs from every VM succeed, and each task is started exactly once.
func TestJobsSucceedAtEveryVM(t *testing.T) {
	c := newCluster(t, 3, 3, 30*time.Millisecond)
	c.dispatcher()
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		for k := range 5 {
			wg.Go(func() {
				answer := n.submit(context.Background(), fmt.Sprintf("%d-%d", i, k), 3, waitTimeout)
				if answer.Outcome != intake.Succeeded {
					t.Errorf("job %d-%d: %v %s", i, k, answer.Outcome, answer.Reason)
				}
			})
		}
	}
	wg.Wait()
	c.wait("no task runs", func() bool { return c.upstreams.running() == 0 })
	for task, starts := range c.upstreams.starts {
		require.Equal(t, 1, starts, task)
	}
}

// When the dispatcher fails while tasks run, the origins offer their jobs to the
// next dispatcher, which adopts the active runs.
func TestJobsSurviveDispatcherFailure(t *testing.T) {
	c := newCluster(t, 3, 2, 600*time.Millisecond)
	first := c.dispatcher()
	origin := c.otherThan(first)
	done := make(chan intake.Answer, 1)
	go func() { done <- origin.submit(context.Background(), "a", 6, waitTimeout) }()
	c.wait("tasks run", func() bool { return c.upstreams.running() == 4 })
	first.kill()
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
	require.NotEqual(t, first, c.dispatcher())
}

func TestGracefulStopHandsOver(t *testing.T) {
	c := newCluster(t, 2, 2, 300*time.Millisecond)
	first := c.dispatcher()
	done := make(chan intake.Answer, 2)
	for _, n := range c.nodes {
		go func() { done <- n.submit(context.Background(), "job-"+n.config.VM, 4, waitTimeout) }()
	}
	c.wait("tasks run", func() bool { return c.upstreams.running() > 0 })
	require.NoError(t, first.Ready())
	first.stop()
	c.wait("the node is unready", func() bool { return first.Ready() != nil })
	for range 2 {
		answer := <-done
		require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
	}
	<-first.stopped
	require.NotEqual(t, first, c.dispatcher())
}

func TestCallerDisconnectStopsTasks(t *testing.T) {
	c := newCluster(t, 2, 2, time.Hour)
	origin := c.otherThan(c.dispatcher())
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan intake.Answer, 1)
	go func() { done <- origin.submit(ctx, "a", 2, waitTimeout) }()
	c.wait("tasks run", func() bool { return c.upstreams.running() == 2 })
	leave()
	require.Equal(t, intake.Abandoned, (<-done).Outcome)
	c.wait("tasks are stopped", func() bool { return c.upstreams.running() == 0 })
}

func TestOriginFailureStopsTasks(t *testing.T) {
	c := newCluster(t, 3, 2, time.Hour)
	origin := c.otherThan(c.dispatcher())
	go origin.submit(context.Background(), "a", 2, time.Hour)
	c.wait("tasks run", func() bool { return c.upstreams.running() == 2 })
	origin.kill()
	c.wait("tasks are stopped", func() bool { return c.upstreams.running() == 0 })
}

// A VM that the store refuses takes the configuration and its changes from a
// peer. A rejected lower version must not block the next change.
func TestConfigurationFromPeerWithoutStore(t *testing.T) {
	c := newCluster(t, 1, 1, time.Millisecond)
	c.dispatcher()
	refusing := store.NewMemory()
	refusing.SetError(store.ErrRefused)
	served := c.store
	c.store = refusing
	seed := c.nodes[0].config.PeerAddress
	n := c.start("vm9", seed)
	c.store = served
	c.wait("the configuration", func() bool { table := n.RoutingTable(); return table != nil && table.Version == 1 })
	c.wait("readiness", func() bool { return n.Ready() == nil })
	c.store.Set("config", []byte("5"))
	c.wait("the change", func() bool { return n.RoutingTable().Version == 5 })
	c.store.Set("config", []byte("3"))
	c.store.Set("config", []byte("6"))
	c.wait("the next change", func() bool { return n.RoutingTable().Version == 6 })
}

// Jobs succeed while the store is down, even if the dispatcher fails as well.
func TestServesWithoutStore(t *testing.T) {
	c := newCluster(t, 3, 2, 20*time.Millisecond)
	first := c.dispatcher()
	c.store.SetError(store.ErrRefused)
	origin := c.otherThan(first)
	require.Equal(t, intake.Succeeded, origin.submit(context.Background(), "a", 2, waitTimeout).Outcome)
	first.kill()
	require.Equal(t, intake.Succeeded, origin.submit(context.Background(), "b", 2, waitTimeout).Outcome)
}

// When the store has compacted the revisions that a watch needs, the nodes list
// the configuration again.
func TestRelistsAfterCompaction(t *testing.T) {
	c := newCluster(t, 2, 1, time.Millisecond)
	c.dispatcher()
	for version := 2; version < 6; version++ {
		c.store.Set("config", fmt.Appendf(nil, "%d", version))
		c.store.Compact()
	}
	for _, n := range c.nodes {
		c.wait("the last configuration", func() bool { return n.RoutingTable().Version == 5 })
	}
}
