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
	list := d.readDirectory(ctx, nil)
	served := services{}
	for {
		changed := d.node.Members().Changed()
		d.divideUpstreams(list, served)
		select {
		case <-changed:
		case <-ticker.C:
			list = d.readDirectory(ctx, list)
		case <-d.relist:
		case <-ctx.Done():
			return nil
		}
	}
}

// divideUpstreams takes this VM's share of the upstreams on the list. A VM that
// has not joined takes none.
func (d *Daemon) divideUpstreams(list *api.VMList, served services) {
	view := d.node.View()
	if list == nil || !view.Admitted(view.Self.ID()) {
		return
	}
	d.setPeers()
	for service, upstreams := range served.divide(view, list.VMs, d.drainedUpstream) {
		d.place(d.dispatcher.SetUpstreams(time.Now(), service, upstreams))
	}
	d.listed.Store(true)
}

// readDirectory reads this data centre's part of the platform's list. It
// returns the last one where that fails or nothing has changed.
func (d *Daemon) readDirectory(ctx context.Context, last *api.VMList) *api.VMList {
	tag := ""
	if last != nil {
		tag = last.Tag
	}
	d.metrics.platformCalls.Add(1)
	list, err := d.directory.VMs(ctx, d.settings.Network.DataCentre, tag)
	if err != nil {
		d.metrics.platformFail.Add(1)
		d.log.Warn("platform list", slog.Any("error", err))
		if last != nil {
			return last
		}
		list = d.listFromPeers(ctx)
	}
	if list == nil || list.Unchanged {
		return last
	}
	d.followList(list.VMs)
	d.list.Store(list)
	return list
}

// services are those that have had upstreams here.
type services map[string]bool

// divide returns the upstreams of this VM by service. A service that has lost
// all of its upstreams is named with none.
func (s services) divide(view *membership.View, vms []api.VM, drained func(string) bool) map[string][]dispatch.Upstream {
	selected := selectUpstreams(view, vms, drained)
	for service := range selected {
		s[service] = true
	}
	for service := range s {
		if selected[service] == nil {
			selected[service] = nil
		}
	}
	return selected
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
