package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// configurationReady returns nil if the configuration allows this VM to take calls,
// or else an error that says why not.
func (d *Daemon) configurationReady() error {
	switch {
	case !d.configuration.synced.Load():
		return errors.New("no configuration received from a peer or the platform yet")
	case d.operatorDrained.Load():
		return errors.New("drained by an operator")
	}
	return nil
}

// handleStatus answers a peer that collects the status of all VMs.
func (d *Daemon) handleStatus(context.Context, *wire.Hello, *wire.StatusRequest) wire.Message {
	return d.ownStatus()
}

func (d *Daemon) ownStatus() *wire.StatusResponse {
	s := d.configuration.table.Current()
	token, claimed, ejected := d.dispatch.DispatchStatus()
	return &wire.StatusResponse{
		Ejected: ejected, Evacuated: d.dispatch.Evacuated(), Token: token, Claimed: claimed,
		VM: d.settings.Network.VM, DataCentre: d.settings.Network.DataCentre, Version: Version,
		Revision: s.Revision(), Fingerprint: s.Fingerprint(),
		Ready: d.Ready() == nil, Draining: d.operatorDrained.Load(),
		Watching: d.configuration.watching.Load(), Members: len(d.endpoints()),
	}
}

// Status implements operators.Backend. It queries all known VMs concurrently.
func (d *Daemon) Status(ctx context.Context) *api.StatusReport {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Network.PeerTimeout)
	defer cancel()
	endpoints := d.endpoints()
	report := &api.StatusReport{VMs: make([]api.VMStatus, len(endpoints))}
	var wg sync.WaitGroup
	for i, p := range endpoints {
		wg.Go(func() { report.VMs[i] = d.statusOf(ctx, p) })
	}
	wg.Wait()
	markUpToDate(report)
	slices.SortFunc(report.VMs, func(a, b api.VMStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.VM, b.VM))
	})
	return report
}

func (d *Daemon) statusOf(ctx context.Context, p endpoint) api.VMStatus {
	began := time.Now()
	var m wire.StatusResponse
	if p.VM == d.settings.Network.VM {
		m = *d.ownStatus()
	} else if err := d.peers.Call(ctx, p.Address, &wire.StatusRequest{}, &m); err != nil {
		return api.VMStatus{
			VM: p.VM, DataCentre: p.DataCentre, Address: p.Address, Unreachable: err.Error(),
			TookUS: time.Since(began).Microseconds(),
		}
	}
	return api.VMStatus{
		VM: m.VM, DataCentre: m.DataCentre, Address: p.Address, Version: m.Version,
		Revision: m.Revision, Fingerprint: hex(m.Fingerprint), Ready: m.Ready, Draining: m.Draining,
		Watching: m.Watching, Members: m.Members, Ejected: m.Ejected, Evacuated: m.Evacuated, Token: m.Token, Claimed: m.Claimed, TookUS: time.Since(began).Microseconds(),
	}
}

// markUpToDate determines the newest configuration and marks the VMs that hold it.
func markUpToDate(report *api.StatusReport) {
	for _, vm := range report.VMs {
		if vm.Unreachable != "" {
			continue
		}
		order := cmp.Or(cmp.Compare(vm.Revision, report.Revision), cmp.Compare(vm.Fingerprint, report.Fingerprint))
		if report.Fingerprint == "" || order > 0 {
			report.Revision, report.Fingerprint = vm.Revision, vm.Fingerprint
		}
	}
	report.Converged = true
	for i := range report.VMs {
		vm := &report.VMs[i]
		vm.UpToDate = vm.Unreachable == "" && vm.Revision == report.Revision && vm.Fingerprint == report.Fingerprint
		report.Converged = report.Converged && vm.UpToDate
	}
}
