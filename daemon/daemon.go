// Package daemon is the library behind mustardstepd: it connects the deciding
// packages to the network.
//
// A call enters through the HTTP front of any VM, is forwarded to the VM that
// owns its submission, becomes a job of tasks there, and returns as one
// answer. See docs/DESIGN.md for the protocol.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/httpfront"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/platform"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/upstream"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"golang.org/x/sync/errgroup"
)

// Version is the release of the daemon.
const Version = "0.1.0"

// upstreamConns is the most connections that a daemon keeps to one upstream.
const upstreamConns = 60

// Daemon is one mustardstepd process.
type Daemon struct {
	settings  settings.DaemonProgram
	log       *slog.Logger
	decisions logging.Decisions
	metrics   *metrics

	catalog     atomic.Pointer[catalog.Catalog]
	members     *membership.Table
	submissions *submission.Table
	dispatcher  dispatcher

	front     *httpfront.Front
	peers     *peer.Transport
	upstreams *upstream.Client
	directory platform.Directory // nil without a platform
	ready     atomic.Bool
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
		Address:     s.Network.PeerListen,
	}
	d := &Daemon{
		settings:    s,
		log:         log.With(slog.String("vm", self.VM)),
		metrics:     newMetrics(),
		members:     membership.NewTable(self, seeds),
		submissions: submission.NewTable(s.Jobs.Retention),
		dispatcher:  newDispatcher(&s),
		upstreams: upstream.NewClient(upstream.Config{
			DialTimeout: s.Network.DialTimeout, MaxConns: upstreamConns, MaxBody: s.Network.MaxFrame,
		}),
	}
	d.decisions = logging.NewDecisions(d.log, s.Logging.Decisions)
	if err := d.loadCatalog(); err != nil {
		return nil, err
	}
	if s.Platform.Address != "" {
		d.directory = platform.NewClient(s.Platform.Address, s.Platform.CallTimeout)
	}
	d.front = httpfront.New(frontConfig(s, d.metrics, d.log), d)
	d.peers = peer.New(peer.Config{
		Hello: wire.Hello{
			VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
			Address: self.Address, Version: Version,
		},
		DialTimeout: s.Network.DialTimeout,
		MaxFrame:    s.Network.MaxFrame,
		OnHello:     d.heard,
	})
	d.metrics.countFrames(d.peers)
	d.publishDispatch()
	peer.Handle(d.peers, d.handleLoan)
	peer.Handle(d.peers, d.handleReturn)
	peer.Handle(d.peers, d.handleSubmit)
	peer.Handle(d.peers, d.handleCancel)
	peer.Handle(d.peers, d.handleRecord)
	return d, nil
}

func frontConfig(s settings.DaemonProgram, m *metrics, log *slog.Logger) httpfront.Config {
	return httpfront.Config{
		MaxBody: s.Network.MaxBody, MaxHeader: s.Callers.MaxHeader, MaxTasks: s.Jobs.MaxTasks,
		MaxConns: s.Callers.MaxConns, ReadTimeout: s.Callers.ReadTimeout,
		WriteTimeout: s.Callers.WriteTimeout, IdleTimeout: s.Callers.IdleTimeout, Metrics: m.vars, Log: log,
	}
}

// loadCatalog reads the services file of the settings, if there is one.
func (d *Daemon) loadCatalog() error {
	d.catalog.Store(catalog.Empty())
	path := d.settings.Platform.SchemaFile
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "services file")
	}
	c, err := catalog.Parse(data)
	if err != nil {
		return errors.Wrapf(err, "services file %s", path)
	}
	d.catalog.Store(c)
	return nil
}

// Run serves until the context ends, then stops gracefully: it takes no new
// calls and waits for those in progress, at most the drain timeout.
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
	// Peers are served until the calls in progress have ended.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.peers.Serve(serving, peers) })
	g.Go(func() error { return d.front.Serve(callers) })
	g.Go(func() error { return d.followUpstreams(serving) })
	g.Go(func() error { return d.tickDispatch(serving) })
	g.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
		case <-serving.Done():
		}
		return d.drain()
	})
	d.log.Info("serving", slog.String("http", callers.Addr().String()), slog.String("peers", peers.Addr().String()))
	return g.Wait()
}

func (d *Daemon) drain() error {
	d.ready.Store(false)
	d.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Jobs.DrainTimeout)
	defer cancel()
	return d.front.Shutdown(ctx)
}

// Catalog implements httpfront.Backend.
func (d *Daemon) Catalog() *catalog.Catalog { return d.catalog.Load() }

// Ready implements httpfront.Backend.
func (d *Daemon) Ready() error {
	if !d.ready.Load() {
		return errors.New("starting or draining")
	}
	return nil
}

// heard notes a peer that presented itself.
func (d *Daemon) heard(h wire.Hello) {
	d.members.Heard(membership.Member{
		VM: h.VM, Incarnation: h.Incarnation, DataCentre: h.DataCentre, Address: h.Address,
	})
}
