package command

import (
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
)

// startProfile writes a CPU profile to a file until the returned function is
// called. It does nothing if path is empty.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "-cpu-profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		f.Close()
		return nil, errors.Wrap(err, "-cpu-profile")
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}
