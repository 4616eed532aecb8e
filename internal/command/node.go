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
	"github.com/mustardstep/mustardstep/internal/processwatch"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/platform"
	"golang.org/x/sync/errgroup"
)

// nodeCommand runs the daemon on the platform.
type nodeCommand struct {
	base[settings.DaemonNodeProgram]
}

// Node returns the command that runs the daemon on the platform, configured by
// the platform's settings file.
func Node() subcommands.Command {
	return &nodeCommand{base[settings.DaemonNodeProgram]{name: "node", synopsis: "run the daemon with the settings file of the platform until SIGTERM"}}
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
	ignoreBrokenPipe()
	log, flush := logging.New(c.settings.Logging, os.Stdout)
	defer flush()
	logFindings(s, log)
	watchReload(hup, log)
	return untilSignal(ctx, func(ctx context.Context) error { return runNode(ctx, s, c.settings.Node, c.settings.Logging, log) })
}

// runNode runs a node and its listeners for callers, readiness checks and metrics.
func runNode(ctx context.Context, s *platform.Settings, nodeSettings settings.Node, logSettings settings.Logging, log *slog.Logger) error {
	metrics := node.NewMetrics()
	if counts := logging.CountsOf(log); counts != nil {
		metrics.AddLogCounts(counts)
	}
	if !logSettings.Decisions || !log.Enabled(ctx, slog.LevelInfo) {
		log.Warn("decisions are not logged", slog.String("vm", s.VM), slog.String("level", logSettings.Level), slog.Bool("decisions", logSettings.Decisions))
	}
	decisions := logging.NewDecisionLog(log.With(slog.String("vm", s.VM)), logSettings.Decisions)
	config := s.NodeConfig()
	config.Listen = nodeSettings.PeerListen
	n := node.New(config, node.Dependencies{
		Store: platform.NewStore(s.Store.Address), Upstreams: platform.NewUpstreamClient(), WatchProcess: processwatch.Watch, Decoder: platform.Decoder{},
		Log: log, Decisions: decisions, Metrics: metrics, TaskName: platform.TaskName,
	})
	vmLog := log.With(slog.String("vm", s.VM))
	limits := s.NewLimits(vmLog)
	limitRuntimeMemory(limits.RuntimeMemory())
	ingress := platform.NewLimitedIngress(n, vmLog, limits)
	ingress.SpreadFactor = s.Bounds.SpreadFactor
	callers, err := platform.ListenCallers(ctx, s.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp", s.Listen.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	metricsListener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.IP, nodeSettings.MetricsPort))
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	g, groupCtx := errgroup.WithContext(ctx)
	g.Go(func() error { return serveUntilClosed(func() error { return ingress.ServeCallers(callers) }) })
	g.Go(func() error { return serveUntilClosed(func() error { return ingress.ServeReadiness(readiness) }) })
	g.Go(func() error {
		return serveUntilClosed(func() error { return ingress.ServeMetrics(metricsListener, metrics.Write) })
	})
	g.Go(func() error {
		defer readiness.Close()
		defer metricsListener.Close()
		defer callers.Close() // the node may have failed without a graceful stop of the ingress
		return n.Run(groupCtx, ingress)
	})
	return g.Wait()
}

// logFindings logs the settings that are missing or out of range.
func logFindings(s *platform.Settings, log *slog.Logger) {
	for _, f := range s.Findings() {
		log.Warn("setting is missing or out of range", slog.String("vm", s.VM), slog.String("setting", f.Setting), slog.Any("used", f.Value), slog.String("problem", f.Problem))
	}
}

// serveUntilClosed runs a server until its listener is closed, which is not an
// error.
func serveUntilClosed(serve func() error) error {
	if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// receiveReload returns a channel that receives SIGHUP, the signal that the
// settings file has changed. It is called first, because an unhandled SIGHUP
// terminates the process.
func receiveReload() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchReload logs each change of the settings file. Only the list of seeds may
// change while a process runs, and it is used only at startup, so there is
// nothing to apply. The goroutine never returns: an unhandled SIGHUP would
// terminate the process, even during a planned stop.
func watchReload(hup <-chan os.Signal, log *slog.Logger) {
	go func() {
		for range hup {
			s, err := platform.Load()
			if err != nil {
				log.Error("settings file reload failed", slog.Any("error", err))
				continue
			}
			logFindings(s, log)
			log.Info("settings file reloaded", slog.String("source", "settings file"), slog.String("effect", "none while the process runs"))
		}
	}()
}
