package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/membership"
)

// followUpstreams reads the platform's list until the context ends.
func (d *Daemon) followUpstreams(ctx context.Context) error {
	if d.directory == nil {
		d.ready.Store(true)
		return nil
	}
	ticker := time.NewTicker(d.settings.Platform.ListInterval)
	defer ticker.Stop()
	for {
		d.readDirectory(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// readDirectory applies the platform's list. A failure keeps the last one.
func (d *Daemon) readDirectory(ctx context.Context) {
	d.metrics.platformCalls.Add(1)
	list, err := d.directory.VMs(ctx)
	if err != nil {
		d.metrics.platformFail.Add(1)
		d.log.Warn("platform list", slog.Any("error", err))
		return
	}
	d.setPeers()
	for service, upstreams := range selectUpstreams(d.members.View(), list.VMs) {
		d.place(d.dispatcher.SetUpstreams(time.Now(), service, upstreams))
	}
	d.ready.Store(true)
}

// selectUpstreams returns, by service, the upstreams of this data centre with
// the slots that belong to this VM.
func selectUpstreams(view *membership.View, vms []api.VM) map[string][]dispatch.Upstream {
	var vmHashes []uint64
	for _, member := range view.Members(view.Self.DataCentre) {
		vmHashes = append(vmHashes, rendezvous.Hash(member.VM))
	}
	self := rendezvous.Hash(view.Self.VM)
	selected := map[string][]dispatch.Upstream{}
	for _, vm := range vms {
		if vm.Role != api.RoleUpstream || vm.DataCentre != view.Self.DataCentre || vm.State == api.VMGone {
			continue
		}
		slots := dispatch.Share(vm.Name, vm.Slots, vmHashes, self)
		if slots == 0 {
			continue
		}
		selected[vm.Service] = append(selected[vm.Service], dispatch.Upstream{
			Name: vm.Name, Service: vm.Service, Address: vm.Address, Rack: vm.Rack, Slots: slots,
			Size:    catalog.Size{MilliCPU: vm.MilliCPU, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators},
			Leaving: vm.State == api.VMLeaving,
		})
	}
	return selected
}
