package scheduler

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of an upstream. They are far above any upstream, and sums over all upstreams
// stay within the range of an integer.
const (
	maxNameLength   = 200
	maxMilliCPU     = 1 << 30
	maxMemoryMB     = 1 << 31
	maxAccelerators = 1 << 20
)

// Validate returns an error if the upstream cannot be used: its name is not printable
// ASCII, its address is not host:port with a valid port, or a resource is out of range.
func (u *Upstream) Validate() error {
	if u.Name == "" || len(u.Name) > maxNameLength {
		return errors.Newf("the name of an upstream has %d bytes, expected 1 to %d", len(u.Name), maxNameLength)
	}
	for _, c := range []byte(u.Name) {
		if c <= ' ' || c > '~' || c == '/' {
			return errors.Newf("the name of upstream %q contains an invalid byte", u.Name)
		}
	}
	colon := strings.LastIndexByte(u.Address, ':')
	if colon <= 0 {
		return errors.Newf("upstream %s has the address %q, expected host:port", u.Name, u.Address)
	}
	port := u.Address[colon+1:]
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Newf("upstream %s has the port %q, expected 1 to 65535", u.Name, port)
	}
	for _, r := range []struct {
		name          string
		value, lo, hi int
	}{
		{"milli-CPU", u.Size.MilliCPU, 1, maxMilliCPU}, {"MB of memory", u.Size.MemoryMB, 0, maxMemoryMB},
		{"accelerators", u.Size.Accelerators, 0, maxAccelerators},
	} {
		if r.value < r.lo || r.value > r.hi {
			return errors.Newf("upstream %s has %d %s, expected %d to %d", u.Name, r.value, r.name, r.lo, r.hi)
		}
	}
	return nil
}
