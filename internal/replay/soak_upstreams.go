package replay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// soakCrashTime is the time from the start of a deadly task to the crash of its
	// upstream.
	soakCrashTime = 10 * time.Millisecond
	// soakDownTime is the time for which such an upstream is down.
	soakDownTime = 1500 * time.Millisecond
	// soakDrainTime is the time for which an upstream goes on serving after its entry reports
	// that it drains.
	soakDrainTime = 2 * time.Second
	// An upstream that flaps crashes soakFlaps times, every soakFlapInterval.
	soakFlaps        = 3
	soakFlapInterval = 800 * time.Millisecond
	// soakDeadlyShare is the number of jobs of which one is deadly.
	soakDeadlyShare = 60
	// soakShrinkGrace is the time after which dispatchers must respect a capacity that has
	// shrunk: the platform's contact time and one interval between entries.
	soakShrinkGrace = 3*time.Second + soakEntryInterval
)

// soakUpstream is a simulated upstream and its entry in the store.
type soakUpstream struct {
	*standin.Upstream
	process *standin.Process

	mu           sync.Mutex // guards the fields below
	entry        scheduler.Upstream
	unregistered bool      // the entry is absent from the store
	spare        bool      // it has not joined, or has left
	version      int       // of the entry
	drainingAt   time.Time // when the entry began to report that the upstream drains
	// largest is the largest capacity that dispatchers may still assume.
	largest scheduler.Size
}

// deadlyJobs holds the ids of jobs whose first task crashes its upstreams.
type deadlyJobs struct {
	mu  sync.Mutex // guards the field below
	ids map[string]bool
}

func (d *deadlyJobs) add(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ids[id] = true
}

// has reports whether a run crashes its upstream.
func (d *deadlyJobs) has(run scheduler.Run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return run.Index == 0 && d.ids[run.Job]
}

func (s *soakTest) addUpstream(ctx context.Context, g *errgroup.Group, i int) error {
	addresses, err := freeAddresses(1) // it listens there again after each crash
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", addresses[0])
	if err != nil {
		return err
	}
	u := &soakUpstream{entry: scheduler.Upstream{
		Name: fmt.Sprintf("u%02d", i), Address: listener.Addr().String(), Service: soakService,
		DataCentre: soakDataCentres[i%len(soakDataCentres)], Size: scheduler.Size{MilliCPU: soakUpstreamMilliCPU, MemoryMB: 32_768},
	}}
	u.largest = u.entry.Size
	u.Upstream = standin.NewUpstream(api.VM{Name: u.entry.Name}, "", []float64{0.6, 1, 1}[i%3], soakMeanTaskTime)
	u.SetClockRate([]float64{1, 0.98}[i%2])
	u.OnStart = func(run scheduler.Run, token int64, used scheduler.Size) {
		s.recordStart(u, run, token, used)
	}
	u.OnCompletion = func(run scheduler.Run, kind scheduler.CompletionKind) {
		s.checker.recordCompletion(u.entry.Name, run, kind)
	}
	s.upstreams = append(s.upstreams, u)
	switch {
	case i >= s.options.Upstreams:
		u.spare = true
		s.spares = append(s.spares, u)
	case i >= s.options.Upstreams-s.absentOf(s.options.Upstreams):
		u.unregistered = true
		s.absent.upstreams = append(s.absent.upstreams, u)
	}
	name := u.entry.Name
	u.process = standin.NewProcess(listener, func(c *fasthttp.RequestCtx) { platform.ServeUpstream(ctx, name, u.Upstream, c) })
	g.Go(func() error { return u.process.Run(ctx) })
	g.Go(func() error { return u.CompleteRuns(ctx) })
	g.Go(func() error { return s.publishEntry(ctx, u) })
	return nil
}

// publishEntry rewrites the entry of an upstream periodically, as real upstreams do.
func (s *soakTest) publishEntry(ctx context.Context, u *soakUpstream) error {
	for ctx.Err() == nil {
		if err := s.writeEntry(u); err != nil {
			return err
		}
		wait.For(ctx, soakEntryInterval)
	}
	return nil
}

// writeEntry writes the entry of an upstream, or deletes it if it is absent.
func (s *soakTest) writeEntry(u *soakUpstream) error {
	u.mu.Lock()
	defer u.mu.Unlock() // held while the entry is written, so that an older one does not follow
	u.version++
	key, value, err := platform.UpstreamEntry(u.entryNow(), u.version)
	switch {
	case err != nil:
		return err
	case u.unregistered || u.spare:
		s.store.Memory.Delete(key)
	default:
		s.store.Memory.Set(key, value)
	}
	return nil
}

// recordStart checks a start, and crashes the upstream if the task is deadly.
func (s *soakTest) recordStart(u *soakUpstream, run scheduler.Run, token int64, used scheduler.Size) {
	u.mu.Lock()
	name, capacity := u.entry.Name, u.largest
	drainedLong := u.entry.Draining && time.Since(u.drainingAt) > soakDrainTime+soakEntryInterval
	drainingAt := u.drainingAt
	u.mu.Unlock()
	if drainedLong && !s.disturbedSince(drainingAt) {
		s.checker.recordLateStart(name, run)
	}
	deadly := s.deadly.has(run)
	s.checker.recordStart(name, capacity, run, token, used, deadly)
	s.checkEvacuation(u, fmt.Sprint(run))
	if deadly {
		time.AfterFunc(soakCrashTime, func() { s.crash(u, soakDownTime) })
	}
}

// entryNow returns the entry, with the time that is left if the upstream drains. The caller
// holds mu.
func (u *soakUpstream) entryNow() scheduler.Upstream {
	entry := u.entry
	if entry.Draining {
		entry.Notice = &scheduler.DepartureNotice{Left: soakDrainTime - time.Since(u.drainingAt)}
	}
	return entry
}

// flap crashes an upstream repeatedly.
func (s *soakTest) flap(u *soakUpstream) func() {
	s.recordEvent("upstream %s flaps", u.entry.Name)
	for i := range soakFlaps {
		time.AfterFunc(time.Duration(i)*soakFlapInterval, func() { s.crash(u, soakFlapInterval/2) })
	}
	return func() {}
}

// crash ends the process of an upstream for the given time.
func (s *soakTest) crash(u *soakUpstream, down time.Duration) {
	s.checker.recordCrash(u.entry.Name)
	lost, crashed := u.CrashFor(down) // first, so that its runs have ended when the dispatcher notices
	if !crashed {
		return
	}
	s.checker.recordLostCompletions(lost)
	s.setDown(u, true)
	u.process.Crash(down)
	time.AfterFunc(down, func() { s.setDown(u, u.isSpare()) })
}

func (s *soakTest) crashUpstream(u *soakUpstream) func() {
	s.recordEvent("crash %s", u.entry.Name)
	s.crash(u, s.randomMillis(0, 2000))
	return func() {}
}

// resize changes the capacity of an upstream. A smaller one counts after soakShrinkGrace,
// and only if no dispatcher can have missed the change.
func (s *soakTest) resize(u *soakUpstream) func() {
	size := scheduler.Size{MilliCPU: []int{7_000, 14_000, soakUpstreamMilliCPU, 21_000}[s.rng.IntN(4)], MemoryMB: 32_768}
	s.recordEvent("capacity of %s is %d milli-CPU", u.entry.Name, size.MilliCPU)
	u.update(func() {
		u.entry.Size = size
		u.largest.MilliCPU = max(u.largest.MilliCPU, size.MilliCPU)
	})
	time.AfterFunc(soakShrinkGrace, func() {
		u.update(func() {
			if u.entry.Size == size && !s.disturbedSince(time.Now().Add(-soakShrinkGrace)) {
				u.largest = size
			}
		})
	})
	return func() {}
}

// disturbed records a fault that may hide a change of the store from a dispatcher, until
// it has ended and its effects are over.
func (s *soakTest) disturbed(end func()) func() {
	s.mu.Lock()
	s.disturbances++
	s.mu.Unlock()
	return func() {
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances--
		s.disturbedUntil = time.Now()
	}
}

// disturbedSince reports whether such a fault was active after a time.
func (s *soakTest) disturbedSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbances > 0 || s.disturbedUntil.After(t)
}
