package daemon

import (
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/membership"
)

// parseSeeds parses entries of the form name=data-centre/host:port.
func parseSeeds(texts []string) ([]membership.Seed, error) {
	var seeds []membership.Seed
	var errs []error
	for _, text := range texts {
		vm, rest, hasName := strings.Cut(text, "=")
		dataCentre, address, hasDataCentre := strings.Cut(rest, "/")
		_, _, err := net.SplitHostPort(address)
		if !hasName || !hasDataCentre || vm == "" || dataCentre == "" || err != nil {
			errs = append(errs, errors.Newf("-seeds: %q is not name=data-centre/host:port", text))
			continue
		}
		seeds = append(seeds, membership.Seed{VM: vm, DataCentre: dataCentre, Address: address})
	}
	return seeds, errors.Join(errs...)
}

// applyEntryVMs passes the platform's list of entry VMs to the membership table.
func (d *Daemon) applyEntryVMs(vms []api.VM) {
	var live []membership.Seed
	var gone []string
	for _, vm := range vms {
		switch {
		case vm.Role != api.RoleEntry:
		case vm.State == api.VMGone:
			gone = append(gone, vm.Name)
		default:
			live = append(live, membership.Seed{VM: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address})
		}
	}
	d.ownership.Members().UpdatePlatformList(live, gone)
}
