package daemon

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/processwatch"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/upstream"
	"github.com/mustardstep/mustardstep/internal/vmlist"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
)

const (
	// maxUpstreamConns limits the connections of a daemon to one upstream. An
	// upstream accepts about 60 connections from all VMs together.
	maxUpstreamConns = 48
	// defaultMilliCPU is the CPU share, in thousandths of a core, of a task that
	// declares none, and of each slot of an upstream that declares none.
	defaultMilliCPU = 1000
	// lapsedRetention is how long an upstream whose entry was removed may still run
	// tasks: twice the length of its lease.
	lapsedRetention = 2 * time.Second
	// memberPrefix is the key prefix of the dispatching members in the store.
	memberPrefix = "mustardstep/members/"
	// deadlineFactor is the ratio of a call's deadline to its target response time.
	// An answer later than three times its target counts as worthless, so a third
	// of the deadline is the target.
	deadlineFactor = 3
	// workWeight is the delay in the queue order, in seconds, per second of a job's
	// total work. It favours short jobs without starving long ones.
	workWeight = 3
	// classDelay is the delay in the queue order of each priority class relative to
	// the class above it.
	classDelay = 30 * time.Second
)

// newDispatchNode returns the node that dispatches tasks. It shares the daemon's peer
// transport.
func (d *Daemon) newDispatchNode(self membership.Member, seeds []membership.Seed, s *settings.DaemonProgram) *node.Node {
	config := node.Config{
		VM: self.VM, DataCentre: self.DataCentre, Incarnation: self.Incarnation, PeerAddress: self.Address,
		Weight: s.Dispatch.Weight, LeaseMax: s.Dispatch.LeaseMax, MaxWaiting: s.Jobs.MaxQueued, LapsedRetention: lapsedRetention, RetainCompletions: true,
		UpstreamPrefix: vmlist.UpstreamPrefix, MemberPrefix: memberPrefix,
	}
	for _, seed := range seeds {
		config.Seeds = append(config.Seeds, seed.Address)
	}
	deps := node.Dependencies{
		WatchProcess: processwatch.Watch,
		Upstreams: upstream.NewClient(upstream.Config{
			DialTimeout: s.Network.DialTimeout, MaxConns: maxUpstreamConns, MaxBody: s.Network.MaxFrame,
		}),
		Decoder: decoder{}, Log: d.log, Decisions: d.decisions, Metrics: d.metrics.dispatch, Peers: d.peers, Drained: d.drainedUpstream,
	}
	if d.store != nil {
		deps.Store = d.store
	}
	return node.New(config, deps)
}

// decoder decodes the store entries of upstreams. It implements node.Decoder.
type decoder struct{}

// Configuration implements node.Decoder. It always fails, because the daemon gets
// its configuration from its configSyncer.
func (decoder) Configuration(store.Item) (*routing.Table, error) {
	return nil, errors.New("the configuration is not stored in a single entry")
}

// Evacuation implements node.Decoder. Operators drain upstreams through the configuration instead.
func (decoder) Evacuation(string) (string, error) { return "", nil }

// Upstream implements node.Decoder.
func (decoder) Upstream(item store.Item) (scheduler.Upstream, error) {
	vm, err := vmlist.Decode(item)
	if err != nil {
		return scheduler.Upstream{}, err
	}
	if vm.State != api.VMLive && vm.State != api.VMLeaving {
		return scheduler.Upstream{}, errors.Newf("upstream %s is %s", vm.Name, vm.State)
	}
	size := scheduler.Size{MilliCPU: int(vm.MilliCPU), MemoryMB: int(vm.MemoryMB), Accelerators: int(vm.Accelerators)}
	if size.MilliCPU == 0 {
		size.MilliCPU = vm.Slots * defaultMilliCPU
	}
	if size.MemoryMB == 0 {
		size.MemoryMB = math.MaxInt32 // no memory limit if the upstream declares none
	}
	u := scheduler.Upstream{
		Name: vm.Name, Address: vm.Address, Service: vm.Service, DataCentre: vm.DataCentre, Size: size,
		Draining: vm.State == api.VMLeaving,
	}
	return u, u.Validate()
}

// QueueOf returns the queue for a job of a call with the given number of tasks. A
// job of a higher class or with less work gets less slack, and so runs earlier.
func QueueOf(call *catalog.Call, tasks int) *routing.Queue {
	class := int(catalog.Urgent - call.Priority)
	work := time.Duration(tasks) * call.DeclaredDuration
	return &routing.Queue{
		Name: call.Service + "/" + call.Name, Service: call.Service, Priority: class, MaxAttempts: 1, Stretch: 1,
		Slack: call.Deadline/deadlineFactor + workWeight*work + time.Duration(class)*classDelay,
	}
}

// sizeOf returns the resources that a task of a call needs.
func sizeOf(call *catalog.Call) scheduler.Size {
	size := scheduler.Size{
		MilliCPU: int(call.Size.MilliCPU), MemoryMB: int(call.Size.MemoryMB), Accelerators: int(call.Size.Accelerators),
	}
	if size.MilliCPU == 0 {
		size.MilliCPU = defaultMilliCPU
	}
	return size
}

// pollEntryVMs periodically reads the list of entry VMs until the context is done.
func (d *Daemon) pollEntryVMs(ctx context.Context) error {
	if d.store == nil {
		return nil
	}
	for ctx.Err() == nil {
		d.listEntryVMs(ctx)
		wait.For(ctx, d.settings.Platform.ListInterval)
	}
	return nil
}

// logInvalidEntries logs each invalid entry once.
func (d *Daemon) logInvalidEntries(invalid []vmlist.InvalidEntry) {
	logged := map[string]int64{}
	for _, e := range invalid {
		if d.invalidEntries[e.Key] != e.Revision {
			d.log.Warn("VM entry ignored", slog.String("key", e.Key), slog.Int64("revision", e.Revision), slog.Any("error", e.Err))
		}
		logged[e.Key] = e.Revision
	}
	d.invalidEntries = logged
}

func (d *Daemon) listEntryVMs(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, d.settings.Platform.CallTimeout)
	defer cancel()
	vms, invalid, err := vmlist.List(call, d.store, vmlist.EntryPrefix)
	d.logInvalidEntries(invalid)
	if err != nil {
		if ctx.Err() == nil {
			d.log.Warn("cannot list entry VMs", slog.Any("error", err))
		}
		return
	}
	d.applyEntryVMs(vms)
}
