// Package daemon implements mustardstepd. It connects the packages that make
// decisions to the network.
//
// A call arrives at the HTTP front of any VM and is forwarded to the VM that owns
// its submission. The owner runs the call as a job of tasks and sends one answer
// back. See docs/DESIGN.md for the protocol.
package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/admission"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/boundedhttp"
	"github.com/mustardstep/mustardstep/internal/httpfront"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/operators"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/ownership"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Version is the release of the daemon.
const Version = "0.1.0"

// Daemon is one mustardstepd process.
type Daemon struct {
	settings  settings.DaemonProgram
	log       *slog.Logger
	decisions logging.DecisionLog
	metrics   *metrics

	catalog     atomic.Pointer[catalog.Catalog]
	ownership   *ownership.Node
	submissions *submission.Table
	dispatch    *node.Node // dispatches tasks to upstreams
	quotas      *admission.Quotas

	limits      *boundedhttp.Limits
	front       *httpfront.Server
	peers       *peer.Transport
	store       *store.RateLimited // nil if no platform is configured
	incarnation uint64             // of the process when it started
	jobsStarted atomic.Uint64      // number of jobs started; part of job IDs

	inFlight     actionSet // membership actions in progress
	startRecords recordBatcher
	jobs         jobSet
	droppedPeers incarnationSet // terminated members whose connections were dropped

	draining   context.Context // done once a drain has begun
	beginDrain context.CancelFunc
	stopped    atomic.Bool  // every answer has been sent
	forwards   atomic.Int64 // submissions forwarded by peers and in progress

	configuration   *configSyncer
	liveSettings    atomic.Pointer[settings.DaemonProgram] // settings with the overrides of the configuration
	parsedServices  map[string]serviceEntry                // by key; only accessed by applyConfiguration
	invalidEntries  map[string]int64                       // revisions by key of invalid VM entries; only accessed by pollEntryVMs
	operatorDrained atomic.Bool                            // an operator has drained this VM
}

// New returns a daemon that is not running yet.
func New(s settings.DaemonProgram, log *slog.Logger) (*Daemon, error) {
	seeds, err := parseSeeds(s.Network.Seeds)
	if err != nil {
		return nil, err
	}
	self := membership.Member{
		VM:          s.Network.VM,
		Incarnation: uint64(time.Now().UnixMicro()),
		DataCentre:  s.Network.DataCentre,
		Address:     cmp.Or(s.Network.PeerAdvertise, s.Network.PeerListen),
	}
	initial, err := initialConfiguration(s.Platform.SchemaFile)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:    s,
		log:         log.With(slog.String("vm", self.VM)),
		metrics:     newMetrics(),
		incarnation: self.Incarnation,
		ownership: ownership.New(time.Now(), ownership.Config{
			Membership: membership.Config{
				Self: self, Seeds: seeds, DataCentres: s.Membership.DataCentres,
				Interval: s.Membership.Heartbeat, Fence: s.Membership.Fence,
				Retention: s.Jobs.Retention, RefusalProof: s.Membership.RefusalProof,
			},
			JoinTimeout: s.Membership.JoinTimeout, Budget: s.Jobs.Memory, Fanout: s.Membership.Fanout,
		}),
		quotas: admission.NewQuotas(),
	}
	d.draining, d.beginDrain = context.WithCancel(context.Background())
	d.decisions = logging.NewDecisionLog(d.log, s.Logging.Decisions)
	d.catalog.Store(catalog.Empty())
	d.submissions = d.ownership.Submissions()
	if s.Platform.Address != "" {
		d.store = store.NewRateLimited(platform.NewStore(s.Platform.Address), store.NewRateLimiter(store.RateLimiterConfig{
			Rate: s.Platform.Rate, Burst: s.Platform.Burst,
			BackoffMin: s.Platform.BackoffMin, BackoffMax: s.Platform.BackoffMax, Seed: uint64(os.Getpid()),
		}))
	}
	d.limits = boundedhttp.New(boundedhttp.Config{
		Memory: int64(s.Callers.MemoryMB) << 20, Descriptors: s.Callers.MaxFDs, MaxFields: s.Callers.MaxFields,
		ProgressTimeout: s.Callers.ProgressTimeout, Log: d.log,
	})
	d.front = httpfront.New(d.frontConfig(), d)
	d.peers = peer.New(peer.Config{
		Hello:       d.hello(self),
		DialTimeout: s.Network.DialTimeout,
		MaxFrame:    s.Network.MaxFrame,
		OnHello:     d.handleHello,
		OnClose:     d.handleDisconnect,
		Log:         d.log,
	})
	d.metrics.publishFrames(d.peers)
	d.metrics.publishStore(d.store)
	peer.Handle(d.peers, d.handleSubmit)
	peer.Handle(d.peers, d.handleCancel)
	d.registerMemberHandlers()
	d.startConfiguration(initial, endpoint{VM: self.VM, DataCentre: self.DataCentre, Address: self.Address}, seeds)
	d.dispatch = d.newDispatchNode(self, seeds, &s)
	return d, nil
}

func (d *Daemon) frontConfig() httpfront.Config {
	s := d.settings
	return httpfront.Config{
		MaxBody: s.Network.MaxBody, MaxHeader: s.Callers.MaxHeader, MaxTasks: func() int { return d.liveSettings.Load().Jobs.MaxTasks },
		MaxConns: s.Callers.MaxConns, ReadTimeout: s.Callers.ReadTimeout,
		WriteTimeout: s.Callers.WriteTimeout, IdleTimeout: s.Callers.IdleTimeout, Vars: d.metrics.vars, WriteMetrics: d.metrics.dispatch.Write, Log: d.log,
		Operators: operators.LimitedHandler(d, func(c *fasthttp.RequestCtx) ([]byte, error) { return d.limits.ReadBody(c, s.Network.MaxBody) }),
		Limits:    d.limits,
	}
}

// RuntimeMemory returns the memory limit for the Go runtime in bytes, or 0 if the settings do not
// tell the memory of the machine.
func (d *Daemon) RuntimeMemory() int64 { return d.limits.RuntimeMemory() }

// Run serves until the context is done and then stops gracefully. It takes no new
// calls and waits for those in progress, up to the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Network.HTTPListen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", d.settings.Network.PeerListen)
	if err != nil {
		callers.Close()
		return errors.Wrap(err, "listen for peers")
	}
	// Accept peer connections until the last task has started and every answer
	// has been sent, because peers take a refused connection as proof that this
	// process has terminated and starts no further tasks.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.peers.Serve(serving, peers) })
	g.Go(func() error { return d.front.Serve(callers) })
	g.Go(func() error { return d.configuration.run(serving) })
	g.Go(func() error { return d.membershipLoop(serving) })
	g.Go(func() error { return d.resolveHistory(serving) })
	g.Go(func() error { return d.pollEntryVMs(serving) })
	g.Go(d.dispatch.Serve)
	g.Go(func() error {
		defer stopServing()
		defer d.dispatch.Stop()
		select {
		case <-ctx.Done():
		case <-serving.Done():
		}
		return d.drain()
	})
	d.log.Info("serving", slog.String("http", callers.Addr().String()), slog.String("peers", peers.Addr().String()))
	return g.Wait()
}

// Catalog implements httpfront.Backend.
func (d *Daemon) Catalog() *catalog.Catalog { return d.catalog.Load() }

// Ready implements httpfront.Backend.
func (d *Daemon) Ready() error {
	switch {
	case d.draining.Err() != nil:
		return errors.New("draining")
	case !d.ownership.Ready():
		return errors.New("joining")
	}
	if err := d.dispatch.Ready(); err != nil {
		return err
	}
	return d.configurationReady()
}
