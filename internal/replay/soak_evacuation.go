package replay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/platform"
)

// soakEvacuationBound is the time after which no task may start in an evacuated data centre, if
// nothing keeps the VMs from learning of the key.
const soakEvacuationBound = 5 * time.Second

// evacuateDataCentres evacuates random data centres, one at a time, until a time. It draws from its
// own generator, so that the other faults of a seed stay the same.
func (s *soakTest) evacuateDataCentres(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(uint64(s.options.Seed), 2))
	for time.Now().Before(until) && ctx.Err() == nil {
		dataCentre := soakDataCentres[rng.IntN(len(soakDataCentres))]
		pause := time.Duration(1000+rng.IntN(5000)) * time.Millisecond
		duration := time.Duration(3000+rng.IntN(9000)) * time.Millisecond
		wait.For(ctx, pause)
		s.recordEvent("evacuate %s", dataCentre)
		s.store.Memory.Set(platform.EvacuationKey(dataCentre), nil)
		s.setEvacuated(dataCentre)
		wait.For(ctx, min(duration, max(time.Until(until), 0)))
		s.setEvacuated("")
		s.recordEvent("return %s to service", dataCentre)
		s.store.Memory.Delete(platform.EvacuationKey(dataCentre))
	}
}

// setEvacuated records which data centre is evacuated, empty if none is.
func (s *soakTest) setEvacuated(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated, s.evacuatedAt = dataCentre, time.Now()
}

// checkEvacuation checks that the start of a run is not in a data centre that has been evacuated
// for longer than the bound, in which no fault hid the key from a VM.
func (s *soakTest) checkEvacuation(u *soakUpstream, run string) {
	s.mu.Lock()
	late := s.evacuated == u.entry.DataCentre && time.Since(s.evacuatedAt) > soakEvacuationBound
	s.mu.Unlock()
	if !late || s.disturbedSince(time.Now().Add(-soakEvacuationBound)) {
		return
	}
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.violation("%s started on %s, whose data centre is evacuated", run, u.entry.Name)
}
