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
		d.listed.Store(true)
		return nil
	}
	ticker := time.NewTicker(d.settings.Platform.ListInterval)
	defer ticker.Stop()
	list := d.readDirectory(ctx)
	for {
		changed := d.node.Members().Changed()
		d.divideUpstreams(list)
		select {
		case <-changed:
		case <-ticker.C:
			if next := d.readDirectory(ctx); next != nil {
				list = next
			}
		case <-d.relist:
		case <-ctx.Done():
			return nil
		}
	}
}

// divideUpstreams takes this VM's share of the upstreams on the list. A VM that
// has not joined takes none.
func (d *Daemon) divideUpstreams(list *api.VMList) {
	view := d.node.View()
	if list == nil || !view.Admitted(view.Self.ID()) {
		return
	}
	d.setPeers()
	for service, upstreams := range selectUpstreams(view, list.VMs, d.drainedUpstream) {
		d.place(d.dispatcher.SetUpstreams(time.Now(), service, upstreams))
	}
	d.listed.Store(true)
}

// readDirectory reads the platform's list. It returns nil where that fails.
func (d *Daemon) readDirectory(ctx context.Context) *api.VMList {
	d.metrics.platformCalls.Add(1)
	list, err := d.directory.VMs(ctx)
	if err != nil {
		d.metrics.platformFail.Add(1)
		d.log.Warn("platform list", slog.Any("error", err))
		return nil
	}
	d.followList(list.VMs)
	return list
}

// selectUpstreams returns, by service, the upstreams of this data centre with
// the slots that belong to this VM.
func selectUpstreams(view *membership.View, vms []api.VM, drained func(string) bool) map[string][]dispatch.Upstream {
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
			Leaving: vm.State == api.VMLeaving || drained(vm.Name),
		})
	}
	return selected
}
