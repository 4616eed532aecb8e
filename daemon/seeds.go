package daemon

import (
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/membership"
)

// parseSeeds reads entries of the form name=data-centre/host:port.
func parseSeeds(texts []string) ([]membership.Member, error) {
	var seeds []membership.Member
	var errs []error
	for _, text := range texts {
		vm, rest, hasName := strings.Cut(text, "=")
		dataCentre, address, hasPlace := strings.Cut(rest, "/")
		_, _, err := net.SplitHostPort(address)
		if !hasName || !hasPlace || vm == "" || dataCentre == "" || err != nil {
			errs = append(errs, errors.Newf("-seeds: %q is not name=data-centre/host:port", text))
			continue
		}
		seeds = append(seeds, membership.Member{VM: vm, DataCentre: dataCentre, Address: address})
	}
	return seeds, errors.Join(errs...)
}
