package daemon

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/api"
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
	// maxUpstreamConns is the most connections that a daemon keeps to one upstream,
	// which accepts some 60 from all VMs.
	maxUpstreamConns = 48
	// defaultMilliCPU is what a task takes that declares no size, and what each slot
	// of an upstream gives that declares none, in thousandths of a core.
	defaultMilliCPU = 1000
	// lapsedRetention is the time for which an upstream whose entry was removed may
	// still run tasks: two of its leases.
	lapsedRetention = 2 * time.Second
	// memberPrefix is the place of the VMs that hear each other in the store.
	memberPrefix = "mustardstep/members/"
	// deadlineFactor is the multiple of an answer in time at which it is worth nothing
	// (package scheduler): a call's deadline.
	deadlineFactor = 3
	// workWeight is the waiting time that a job stands back for each second of its
	// work: short jobs go first, and none starves.
	workWeight = 3
	// classDelay is the waiting time by which a class stands back behind the one
	// above it.
	classDelay = 30 * time.Second
)

// newPool returns the part of the daemon that dispatches. It shares the transport
// between the daemons.
func (d *Daemon) newPool(self membership.Member, seeds []membership.Seed, s *settings.DaemonProgram) *node.Node {
	config := node.Config{
		VM: self.VM, DataCentre: self.DataCentre, Incarnation: self.Incarnation, PeerAddress: self.Address,
		Weight: s.Dispatch.Weight, LeaseMax: s.Dispatch.LeaseMax, MaxWaiting: s.Jobs.MaxQueued, LapsedRetention: lapsedRetention, RetainCompletions: true,
		UpstreamPrefix: vmlist.UpstreamPrefix, MemberPrefix: memberPrefix,
	}
	for _, seed := range seeds {
		config.Seeds = append(config.Seeds, seed.Address)
	}
	deps := node.Dependencies{
		Upstreams: upstream.NewClient(upstream.Config{
			DialTimeout: s.Network.DialTimeout, MaxConns: maxUpstreamConns, MaxBody: s.Network.MaxFrame,
		}),
		Decoder: decoder{}, Log: d.log, Decisions: d.decisions, Metrics: d.metrics.pool, Peers: d.peers, Drained: d.drainedUpstream,
	}
	if d.store != nil {
		deps.Store = d.store
	}
	return node.New(config, deps)
}

// decoder reads the entries of upstreams. It implements node.Decoder.
type decoder struct{}

// Configuration implements node.Decoder. The daemons agree on their
// configuration by themselves.
func (decoder) Configuration(store.Item) (*routing.Table, error) {
	return nil, errors.New("the configuration is not an entry of the store")
}

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
		size.MemoryMB = math.MaxInt32 // an upstream that declares none is not bound by it
	}
	return scheduler.Upstream{
		Name: vm.Name, Address: vm.Address, Service: vm.Service, DataCentre: vm.DataCentre, Size: size,
		Draining: vm.State == api.VMLeaving,
	}, nil
}

// QueueOf returns the queue of a job of a call. Jobs go in the order of their class
// and then of their work, of which a second counts as much as workAge of waiting. An
// answer is worth something until the call's deadline.
func QueueOf(call *catalog.Call, tasks int) *routing.Queue {
	class := int(catalog.Urgent - call.Priority)
	work := time.Duration(tasks) * call.DeclaredDuration
	return &routing.Queue{
		Name: call.Service + "/" + call.Name, Service: call.Service, Priority: class, MaxAttempts: 1, Stretch: 1,
		Slack: call.Deadline/deadlineFactor + workWeight*work + time.Duration(class)*classDelay,
	}
}

// sizeOf returns what a task of a call takes.
func sizeOf(call *catalog.Call) scheduler.Size {
	size := scheduler.Size{
		MilliCPU: int(call.Size.MilliCPU), MemoryMB: int(call.Size.MemoryMB), Accelerators: int(call.Size.Accelerators),
	}
	if size.MilliCPU == 0 {
		size.MilliCPU = defaultMilliCPU
	}
	return size
}

// pollEntryVMs reads the store's list of entry VMs until the context ends.
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

func (d *Daemon) listEntryVMs(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, d.settings.Platform.CallTimeout)
	defer cancel()
	vms, err := vmlist.List(call, d.store, vmlist.EntryPrefix)
	if err != nil {
		if ctx.Err() == nil {
			d.log.Warn("list of entry VMs", slog.Any("error", err))
		}
		return
	}
	d.applyEntryVMs(vms)
}
