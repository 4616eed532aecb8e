// Package node implements the dispatching part of the daemon. It runs on the entry
// VMs, which receive the callers' requests, and connects the packages that make
// decisions (fleet, intake and scheduler) to the network, the store and the
// upstreams.
//
// The VM that takes a job from a caller is the origin of the job. It keeps the
// job until the job has an answer, and offers its tasks to the dispatcher, which
// is one of the VMs that reach each other. The dispatcher claims upstreams,
// starts the tasks on them and reports their completions to the origin. Every VM
// can become the dispatcher.
package node

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/overload"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"golang.org/x/sync/errgroup"
)

// UpstreamClient sends orders and polls to upstreams. Implementations must be
// safe for concurrent use. The deadline of the context bounds each call. If a
// call gets no answer, the error says why.
type UpstreamClient interface {
	// Start orders the upstream to run a task. clock is the upstream's clock in
	// ms, or 0 if the answer does not include it.
	Start(ctx context.Context, start scheduler.Start) (result scheduler.OrderResult, clock int64, err error)
	// Stop ends a run.
	Stop(ctx context.Context, stop scheduler.Stop) (result scheduler.OrderResult, clock int64, err error)
	// Poll requests the active runs and the completions of the upstream, and
	// renews the lease of its runs.
	Poll(ctx context.Context, poll scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error)
}

// Decoder decodes the store entries written by operators and upstreams.
type Decoder interface {
	// Configuration decodes the operators' configuration.
	Configuration(item store.Item) (*routing.Table, error)
	// Upstream decodes an upstream's entry. It returns an error if the entry
	// describes no usable upstream.
	Upstream(item store.Item) (scheduler.Upstream, error)
	// Evacuation returns the data centre that a key under Config.OperatorPrefix evacuates. It is
	// empty if the key has another purpose; the error tells why a key is malformed.
	Evacuation(key string) (dataCentre string, err error)
}

// Config holds the configuration of a node.
type Config struct {
	VM, DataCentre string
	// Incarnation identifies the process among successive processes of the VM. If
	// 0, the start time is used.
	Incarnation uint64
	// PeerAddress is the host:port under which other VMs reach this node.
	PeerAddress string
	// Listen is the address to listen on for other VMs. The default is
	// PeerAddress.
	Listen string
	// Weight is the VM's capacity as a dispatcher, in thousandths of a core.
	Weight int
	// Seeds holds the addresses (host:port) of VMs to contact while no member is
	// known.
	Seeds []string
	// LeaseMax is the longest lease that upstreams grant.
	LeaseMax time.Duration
	// CallerReturn is the shortest time after which a caller without an answer sends its job
	// to another VM. 0 means that callers never do.
	CallerReturn time.Duration
	// LapsedRetention is how long an upstream may still run tasks after its store
	// entry has lapsed, that is, has disappeared. A draining upstream is no exception: it may
	// have lost the store while its tasks run.
	LapsedRetention time.Duration
	// RetainCompletions must be set if at-most-once jobs are submitted. Completions
	// that match no known job then stay listed at their upstreams for a while, so
	// that a later offer of the job finds them.
	RetainCompletions bool
	// MaxWaiting limits the tasks that wait at this node while it dispatches. If
	// 0, maxWaiting applies.
	MaxWaiting int
	// DrainDelay is how long the load balancer may keep sending requests after
	// the node has become unready. DrainTimeout limits the wait for pending requests;
	// the graceful stop ends lastAnswersTimeout after it at the latest.
	DrainDelay, DrainTimeout time.Duration
	// UpstreamDrain is the time for which an upstream must go on serving after its entry
	// reports that it drains. If 0, a draining upstream gets no tasks.
	UpstreamDrain time.Duration
	// Store keys and prefixes. If ConfigurationKey is empty, the node reads no
	// configuration and each job carries its queue.
	ConfigurationKey, UpstreamPrefix, MemberPrefix string
	// OperatorPrefix is the prefix of ConfigurationKey and of the other keys that operators write.
	// If empty, ConfigurationKey is used.
	OperatorPrefix string
	// RosterPrefix is the prefix of the roster. If empty, a process that starts during a split
	// does not learn of members whose entries have lapsed.
	RosterPrefix string
}

// Dependencies holds the services that a node uses.
type Dependencies struct {
	Store     store.Store // optional; without it no upstream is known
	Upstreams UpstreamClient
	Decoder   Decoder
	Log       *slog.Logger
	// Decisions logs each decision about a job. The zero value logs nothing.
	Decisions logging.DecisionLog
	Metrics   *Metrics
	// Peers exchanges messages with other VMs. Its owner serves it and calls
	// PeerDisconnected. If nil, the node creates a transport and listens itself.
	Peers *peer.Transport
	// WatchProcess watches the process at the address of an upstream, as
	// processwatch.Watch does. If nil, only failed polls tell that an upstream may have
	// crashed.
	WatchProcess func(ctx context.Context, address string) error
	// TaskName returns the name by which upstreams know a task, for the log. If nil, it is
	// the ID of the job and the index.
	TaskName func(scheduler.Task) string
	// Drained reports whether operators have drained an upstream. If nil, none is
	// drained.
	Drained func(upstream string) bool
}

// taskName returns the name of a task in the log.
func (n *Node) taskName(t scheduler.Task) string {
	if n.deps.TaskName != nil {
		return n.deps.TaskName(t)
	}
	return t.Job + "." + strconv.Itoa(t.Index)
}

// maxWaiting is the default of Config.MaxWaiting: about 10 s of work for 350
// upstreams. Further tasks could not complete in time.
const maxWaiting = 50_000

// joinDelay is the time for which an upstream that joins gets no tasks. By then the VMs that may
// dispatch next have learnt from a heartbeat that their list lacks it, and this VM has abandoned
// the jobs that they have taken over if it has not heard of their term.
const joinDelay = time.Second

// maxFrame is the largest message between VMs, in bytes. A list of 20,000
// upstreams takes about 6 MB.
const maxFrame = 32 << 20

// dialTimeout limits the time to connect to a peer. It covers several round trips
// between data centres and is shorter than the peer timeout.
const dialTimeout = 300 * time.Millisecond

// Node is the local member of the fleet.
type Node struct {
	config    Config
	deps      Dependencies
	log       *slog.Logger
	decisions logging.DecisionLog
	metrics   *Metrics
	losses    *logging.LossLog

	fleet     *fleet.Fleet
	scheduler *scheduler.Scheduler
	jobs      *intake.Table[Job]
	peers     *peer.Transport

	term        term
	origins     origins
	outboxes    outboxes
	withdrawals withdrawals
	withdrawn   withdrawnSubmissions
	pollers     pollers
	pauses      pauseDetector
	rtt         rttEstimator // of calls to upstreams

	table        atomic.Pointer[routing.Table] // nil before the first configuration
	registry     registry
	evacuation   evacuationState
	formerRoutes formerRoutes
	elsewhere    elsewhere
	roster       roster
	view         atomic.Pointer[fleet.View]
	// publishedLoad is the load of this VM as dispatcher, dispatcherLoad that of its dispatcher.
	publishedLoad  atomic.Pointer[[]wire.QueueLoad]
	dispatcherLoad atomic.Pointer[overload.Published]

	storeAnswers atomic.Bool // the store answers the watch of the configuration

	callerReturnShort bool   // as last logged; used by updateTerm only
	historiesSentTerm uint64 // last term whose dispatcher was told of ended jobs; used by updateTerm only

	started  time.Time
	draining atomic.Bool
	stopping atomic.Bool // every job is answered at once

	pendingOrders atomic.Int64 // number of start orders without a result, and of stop orders that may be repeated

	runCtx    context.Context // cancelled by Stop; in a graceful stop, after the last answer is sent
	cancelRun context.CancelFunc

	placeSignal    chan struct{} // requests a placement round
	relistSignal   chan struct{} // requests a new listing of the upstreams
	rosterSignal   chan struct{} // requests a reading of the roster
	termSignal     chan struct{} // requests an update of the view and the term
	announceSignal chan struct{} // requests heartbeats to all reachable members
	pullFrom       chan string   // addresses of peers with newer state
	heartbeatCalls sync.WaitGroup
}

// New returns a node that does not run yet.
func New(config Config, deps Dependencies) *Node {
	self := fleet.Member{
		VM: config.VM, Incarnation: cmp.Or(config.Incarnation, uint64(time.Now().UnixMicro())),
		DataCentre: config.DataCentre, Address: config.PeerAddress, Weight: config.Weight,
	}
	n := &Node{
		config: config, deps: deps, metrics: deps.Metrics,
		log:            deps.Log.With(slog.String("vm", config.VM)),
		decisions:      deps.Decisions,
		fleet:          fleet.New(self),
		scheduler:      scheduler.New(time.Now(), scheduler.Config{LeaseMax: config.LeaseMax, MaxWaiting: cmp.Or(config.MaxWaiting, maxWaiting), RetainCompletions: config.RetainCompletions, CallerReturn: config.CallerReturn, JoinDelay: joinDelay, DrainTime: config.UpstreamDrain}),
		jobs:           intake.New[Job](),
		placeSignal:    make(chan struct{}, 1),
		relistSignal:   make(chan struct{}, 1),
		rosterSignal:   make(chan struct{}, 1),
		termSignal:     make(chan struct{}, 1),
		announceSignal: make(chan struct{}, 1),
		pullFrom:       make(chan string, 1),
	}
	n.losses = logging.NewLossLog(n.log)
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.origins.byVM = map[string]*origin{}
	n.outboxes.byVM = map[string]*outbox{}
	n.withdrawals.byVM = map[string]*withdrawalQueue{}
	n.pollers.init()
	n.registry.init()
	n.roster.init(config.RosterPrefix == "" || deps.Store == nil)
	n.view.Store(&fleet.View{TopRanked: self, TopInDataCentre: true, Candidate: true})
	n.peers = deps.Peers
	if n.peers == nil {
		n.peers = peer.New(peer.Config{
			Hello:       wire.Hello{VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address},
			DialTimeout: dialTimeout, MaxFrame: maxFrame,
			OnHello: func(wire.Hello) {},
			OnClose: n.PeerDisconnected,
			Log:     n.log,
		})
	}
	n.registerGauges()
	peer.Handle(n.peers, n.handleHeartbeat)
	peer.Handle(n.peers, n.handleOffer)
	peer.Handle(n.peers, n.handleCompletions)
	peer.Handle(n.peers, n.handleTasksDone)
	peer.Handle(n.peers, n.handleHistories)
	peer.Handle(n.peers, n.handleWithdraw)
	peer.Handle(n.peers, n.handleState)
	peer.Handle(n.peers, n.handlePlacements)
	return n
}

// Frontend serves the requests of callers.
type Frontend interface {
	// Shutdown stops accepting connections and waits until the pending requests
	// are answered or the context is done.
	Shutdown(ctx context.Context) error
}

// Run serves until the context is done, then stops gracefully: it keeps accepting
// requests until the load balancer sends no more, and waits for the pending ones. Those that
// DrainTimeout leaves are answered, and their jobs withdrawn.
func (n *Node) Run(ctx context.Context, front Frontend) error {
	var g errgroup.Group
	g.Go(n.Serve)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(front)
			n.leaveRoster()
		case <-n.runCtx.Done():
		}
		n.Stop()
		return nil
	})
	return g.Wait()
}

// Stop makes Serve return. Jobs without an answer are abandoned; a graceful stop leaves none.
func (n *Node) Stop() { n.cancelRun() }

// Serve runs the node until Stop is called.
func (n *Node) Serve() error {
	defer n.cancelRun()
	n.started = time.Now()
	n.log.Info("node started", slog.String("data_centre", n.config.DataCentre), slog.String("peers", n.config.PeerAddress),
		slog.Uint64("incarnation", n.fleet.Self().Incarnation), slog.Int64("caller_return_ms", n.config.CallerReturn.Milliseconds()))
	n.reportCallerReturn()
	g, ctx := errgroup.WithContext(n.runCtx)
	if n.deps.Peers == nil {
		listener, err := net.Listen("tcp", cmp.Or(n.config.Listen, n.config.PeerAddress))
		if err != nil {
			return errors.Wrap(err, "listen for peers")
		}
		g.Go(func() error { return n.peers.Serve(ctx, listener) })
	}
	g.Go(func() error { return n.heartbeatLoop(ctx) })
	g.Go(func() error { return n.termLoop(ctx) })
	g.Go(func() error { return n.placeLoop(ctx) })
	g.Go(func() error { return n.tickLoop(ctx) })
	g.Go(func() error { return n.pullLoop(ctx) })
	if n.deps.Store != nil {
		g.Go(func() error { return n.watchConfiguration(ctx) })
		g.Go(func() error { return n.watchUpstreams(ctx) })
		g.Go(func() error { return n.watchMembers(ctx) })
		g.Go(func() error { return n.registerLoop(ctx) })
		g.Go(func() error { return n.rosterLoop(ctx) })
	}
	err := g.Wait()
	n.log.Info("node stopped", slog.Int("jobs_without_answer", n.jobs.Len()))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Ready returns nil if the load balancer should send requests to this node, and
// otherwise the reason why not.
func (n *Node) Ready() error {
	switch {
	case n.draining.Load():
		return errors.New("draining")
	case !n.hasConfiguration():
		return errors.New("no configuration yet")
	case n.view.Load().Dispatcher.VM == "":
		return errors.New("no dispatcher is reachable")
	}
	return nil
}

// hasConfiguration reports whether the queues are known.
func (n *Node) hasConfiguration() bool {
	return n.config.ConfigurationKey == "" || n.table.Load() != nil
}

// RoutingTable returns the current configuration, or nil before the first one.
func (n *Node) RoutingTable() *routing.Table { return n.table.Load() }

func (n *Node) wakeTermLoop()  { wake(n.termSignal) }
func (n *Node) wakePlaceLoop() { wake(n.placeSignal) }

// wake sends a signal on a channel with a buffer of one, unless a signal is
// pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
