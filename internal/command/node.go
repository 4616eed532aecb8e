package command

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// nodeCommand runs an entry VM of the users' platform.
type nodeCommand struct {
	base[settings.DaemonNodeProgram]
}

// Node returns the command that runs the daemon on the users' platform.
func Node() subcommands.Command {
	return &nodeCommand{base[settings.DaemonNodeProgram]{name: "node", synopsis: "run on the platform, by its settings file, until SIGTERM"}}
}

func (c *nodeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.resolve(f) {
		return subcommands.ExitUsageError
	}
	hup := receiveReload()
	s, err := platform.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log, flush := logging.New(c.settings.Logging, os.Stdout)
	defer flush()
	watchReload(hup, log)
	return untilSignal(ctx, func(ctx context.Context) error { return runNode(ctx, s, c.settings.Node, c.settings.Logging, log) })
}

// runNode runs a node with its fronts.
func runNode(ctx context.Context, s *platform.Settings, own settings.Node, logs settings.Logging, log *slog.Logger) error {
	metrics := node.NewMetrics()
	decisions := logging.NewDecisionLog(log.With(slog.String("vm", s.VM)), logs.Decisions)
	config := s.NodeConfig()
	config.Listen = own.PeerListen
	n := node.New(config, node.Dependencies{
		Store: platform.NewStore(s.Store.Address), Upstreams: platform.NewUpstreamClient(), Decoder: platform.Decoder{},
		Log: log, Decisions: decisions, Metrics: metrics,
	})
	ingress := platform.NewIngress(n, log.With(slog.String("vm", s.VM)))
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp", s.Listen.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	scrapes, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.IP, own.MetricsPort))
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	g, serving := errgroup.WithContext(ctx)
	g.Go(func() error { return serveUntilClosed(func() error { return ingress.ServeCallers(callers) }) })
	g.Go(func() error { return serveUntilClosed(func() error { return ingress.ServeReadiness(readiness) }) })
	g.Go(func() error {
		return serveUntilClosed(func() error {
			return fasthttp.Serve(scrapes, func(ctx *fasthttp.RequestCtx) { metrics.Write(ctx) })
		})
	})
	g.Go(func() error {
		defer readiness.Close()
		defer scrapes.Close()
		return n.Run(serving, ingress)
	})
	return g.Wait()
}

// serveUntilClosed runs a server; its end by a closed listener is no error.
func serveUntilClosed(serve func() error) error {
	if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// receiveReload receives the signal that the settings file has changed. It is called
// first, since a signal without a receiver ends the process.
func receiveReload() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchReload logs a changed settings file: all that it can change while a
// process runs is the list of seeds, which serves the start only. It goes on for
// the life of the process, since a signal without a receiver would end it, also
// during a planned stop.
func watchReload(hup <-chan os.Signal, log *slog.Logger) {
	go func() {
		for range hup {
			if _, err := platform.Load(); err != nil {
				log.Error("reload failed", slog.Any("error", err))
				continue
			}
			log.Info("reload", slog.String("source", "settings file"), slog.String("effect", "none while the process runs"))
		}
	}()
}
