// Package node is the library behind the daemon of an entry VM on the
// platform: it connects the deciding packages to the network.
//
// A job enters at the front of any VM, which keeps it until it has an answer.
// Its tasks are offered to the dispatcher of the VMs that hear each other, which
// starts them on upstreams that it has claimed and sends back their ends. Every
// VM can dispatch.
package node

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"golang.org/x/sync/errgroup"
)

// Upstreams carries orders and looks to upstreams. Implementations are safe for
// concurrent use. A context's deadline bounds each call. The error tells why a
// call is unanswered.
type Upstreams interface {
	// Start orders a task to run. clock is the upstream's clock in ms, where the
	// answer told it.
	Start(ctx context.Context, start scheduler.Start) (result scheduler.OrderResult, clock int64, err error)
	// Stop ends a run.
	Stop(ctx context.Context, stop scheduler.Stop) (result scheduler.OrderResult, clock int64, err error)
	// Look asks what runs and renews its lease.
	Look(ctx context.Context, look scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error)
}

// Decoder reads the entries that operators and upstreams write.
type Decoder interface {
	// Configuration decodes the operators' configuration.
	Configuration(item store.Item) (*routing.Table, error)
	// Upstream decodes an upstream's entry. An entry that names no upstream to
	// use is an error.
	Upstream(item store.Item) (scheduler.Upstream, error)
}

// Config describes a node.
type Config struct {
	VM, DataCentre string
	// Incarnation distinguishes the processes at a VM; 0 takes the time of day.
	Incarnation uint64
	// PeerAddress is the host:port for other VMs.
	PeerAddress string
	// Listen is the address at which other VMs are accepted where it differs from
	// PeerAddress.
	Listen string
	// Weight is what the VM can carry as a dispatcher, in thousandths of a core.
	Weight int
	// Seeds are addresses of VMs that may know others, as host:port.
	Seeds []string
	// LeaseMax is the longest lease that upstreams grant.
	LeaseMax time.Duration
	// LapseMemory is the time for which an upstream whose entry has lapsed may
	// still run tasks.
	LapseMemory time.Duration
	// KeepsEnds tells that jobs are submitted that must run once only.
	KeepsEnds bool
	// MaxWaiting is the most tasks that wait here while this VM dispatches; 0 takes
	// maxWaiting.
	MaxWaiting int
	// DrainTime is the time for which the balancer may still send new requests
	// after readiness has fallen; StopTime is the longest time that a planned
	// stop may take.
	DrainTime, StopTime time.Duration
	// Keys of the store. Without ConfigurationKey the queues come with the jobs.
	ConfigurationKey, UpstreamPrefix, MemberPrefix string
}

// Dependencies are what a node uses.
type Dependencies struct {
	Store     store.Store // nil: no upstream is known
	Upstreams Upstreams
	Decoder   Decoder
	Log       *slog.Logger
	// Decisions logs a line for each decision about a job; its zero value none.
	Decisions logging.Decisions
	Metrics   *Metrics
	// Peers carries messages between VMs. It is served by its owner, who calls
	// Disconnected; without one the node listens at PeerAddress itself.
	Peers *peer.Transport
	// Drained tells whether operators drain an upstream; nil: none.
	Drained func(upstream string) bool
}

// maxWaiting bounds the tasks that wait at a dispatcher: some 10 s of the work
// of 350 upstreams, beyond which nothing could be answered in time.
const maxWaiting = 50_000

// maxFrame is the largest message between VMs, in bytes; a list of 20,000
// upstreams takes some 6 MB.
const maxFrame = 32 << 20

// dialTimeout is the longest wait for a connection to a peer: several round
// trips between data centres, below the silence after which a member is lost.
const dialTimeout = 300 * time.Millisecond

// Node is one process.
type Node struct {
	config    Config
	deps      Dependencies
	log       *slog.Logger
	decisions logging.Decisions
	metrics   *Metrics

	fleet     *fleet.Fleet
	scheduler *scheduler.Scheduler
	jobs      *intake.Table[Job]
	peers     *peer.Transport

	term     term
	origins  origins
	outboxes outboxes
	agents   agents
	trips    roundTrip // to upstreams

	table    atomic.Pointer[routing.Table] // nil before the first configuration
	registry registry
	view     atomic.Pointer[fleet.View]

	started  time.Time
	draining atomic.Bool
	serving  context.Context // ends once the last answer is out
	stop     context.CancelFunc

	place   chan struct{} // asks for tasks to be placed
	relist  chan struct{} // asks for a fresh listing of the upstreams
	control chan struct{} // asks for the view to be taken anew
	pull    chan string   // addresses of peers that hold newer state
	beaters sync.WaitGroup
}

// New returns a node that is not running yet.
func New(config Config, deps Dependencies) *Node {
	self := fleet.Member{
		VM: config.VM, Incarnation: cmp.Or(config.Incarnation, uint64(time.Now().UnixMicro())),
		DataCentre: config.DataCentre, Address: config.PeerAddress, Weight: config.Weight,
	}
	n := &Node{
		config: config, deps: deps, metrics: deps.Metrics,
		log:       deps.Log.With(slog.String("vm", config.VM)),
		decisions: deps.Decisions,
		fleet:     fleet.New(self),
		scheduler: scheduler.New(time.Now(), scheduler.Config{LeaseMax: config.LeaseMax, MaxWaiting: cmp.Or(config.MaxWaiting, maxWaiting), RetainCompletions: config.KeepsEnds}),
		jobs:      intake.New[Job](),
		place:     make(chan struct{}, 1),
		relist:    make(chan struct{}, 1),
		control:   make(chan struct{}, 1),
		pull:      make(chan string, 1),
	}
	n.serving, n.stop = context.WithCancel(context.Background())
	n.origins.known = map[string]*origin{}
	n.outboxes.byVM = map[string]*outbox{}
	n.agents.init()
	n.registry.init()
	n.view.Store(&fleet.View{TopRanked: self, TopInDataCentre: true, Candidate: true})
	n.peers = deps.Peers
	if n.peers == nil {
		n.peers = peer.New(peer.Config{
			Hello:       wire.Hello{VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address},
			DialTimeout: dialTimeout, MaxFrame: maxFrame,
			OnHello: func(wire.Hello) {},
			OnClose: n.Disconnected,
		})
	}
	n.gauges()
	peer.Handle(n.peers, n.handleBeat)
	peer.Handle(n.peers, n.handleOffer)
	peer.Handle(n.peers, n.handleEnds)
	peer.Handle(n.peers, n.handleWithdraw)
	peer.Handle(n.peers, n.handleState)
	peer.Handle(n.peers, n.handlePlacements)
	return n
}

// Front takes requests of callers.
type Front interface {
	// Shutdown takes no new connections and returns when the requests in
	// progress are answered, or the context has ended.
	Shutdown(ctx context.Context) error
}

// Run serves until the context ends, then stops gracefully: it keeps taking
// requests until the balancer sends no more, and waits for those in progress.
func (n *Node) Run(ctx context.Context, front Front) error {
	var g errgroup.Group
	g.Go(n.Serve)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(front)
		case <-n.serving.Done():
		}
		n.Stop()
		return nil
	})
	return g.Wait()
}

// Stop ends Serve. Jobs that have no answer yet are dropped.
func (n *Node) Stop() { n.stop() }

// Serve works until Stop.
func (n *Node) Serve() error {
	defer n.stop()
	n.started = time.Now()
	n.log.Info("start", slog.String("data_centre", n.config.DataCentre), slog.String("peers", n.config.PeerAddress),
		slog.Uint64("incarnation", n.fleet.Self().Incarnation))
	g, serving := errgroup.WithContext(n.serving)
	if n.deps.Peers == nil {
		listener, err := net.Listen("tcp", cmp.Or(n.config.Listen, n.config.PeerAddress))
		if err != nil {
			return errors.Wrap(err, "listen for peers")
		}
		g.Go(func() error { return n.peers.Serve(serving, listener) })
	}
	g.Go(func() error { return n.keepBeating(serving) })
	g.Go(func() error { return n.keepTerm(serving) })
	g.Go(func() error { return n.keepPlacing(serving) })
	g.Go(func() error { return n.keepTicking(serving) })
	g.Go(func() error { return n.keepPulling(serving) })
	if n.deps.Store != nil {
		g.Go(func() error { return n.followConfiguration(serving) })
		g.Go(func() error { return n.followUpstreams(serving) })
		g.Go(func() error { return n.followMembers(serving) })
		g.Go(func() error { return n.keepRegistered(serving) })
	}
	err := g.Wait()
	n.log.Info("stop", slog.Int("jobs_without_answer", n.jobs.Len()))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// handOverPoll is the time between two checks whether another VM dispatches.
const handOverPoll = 20 * time.Millisecond

// drain lets readiness fall, hands dispatching over and waits until the jobs
// have their answers.
func (n *Node) drain(front Front) {
	n.log.Info("drain", slog.Int("jobs", n.jobs.Len()))
	ctx, cancel := context.WithTimeout(n.serving, n.config.StopTime)
	defer cancel()
	n.Leave()
	if !wait.For(ctx, n.config.DrainTime) {
		return
	}
	if err := front.Shutdown(ctx); err != nil {
		n.log.Warn("requests are cut", slog.Int("jobs", n.jobs.Len()), slog.Any("error", err))
	}
	n.HandOver(ctx)
}

// Leave begins a planned stop: readiness falls, and another VM dispatches.
func (n *Node) Leave() {
	n.draining.Store(true)
	n.fleet.MarkDraining()
	n.wakeControl()
}

// HandOver waits until another VM dispatches, if one is heard.
func (n *Node) HandOver(ctx context.Context) {
	for n.scheduler.Dispatching() && len(n.view.Load().Reachable) > 0 {
		if !wait.For(ctx, handOverPoll) {
			return
		}
	}
}

// Ready returns why the balancer should send no requests here; nil if it
// should.
func (n *Node) Ready() error {
	switch {
	case n.draining.Load():
		return errors.New("draining")
	case !n.configured():
		return errors.New("no configuration yet")
	case n.view.Load().Dispatcher.VM == "":
		return errors.New("no dispatcher is heard")
	}
	return nil
}

// configured tells whether the queues are known.
func (n *Node) configured() bool { return n.config.ConfigurationKey == "" || n.table.Load() != nil }

// Table returns the configuration in force; nil before the first one.
func (n *Node) Table() *routing.Table { return n.table.Load() }

func (n *Node) wakeControl() { wake(n.control) }
func (n *Node) wakePlacing() { wake(n.place) }

// wake signals a channel that has room for one signal.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
