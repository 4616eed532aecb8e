package replay

import (
	"context"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
)

const (
	// soakSpareShare is the number of upstreams for which there is one spare upstream.
	soakSpareShare = 4
	// soakMaxTakeovers bounds the dispatchers that a series halts, one after another.
	soakMaxTakeovers = 4
	// soakMinRest and soakMaxRest bound the time between two series if there are no other faults. As
	// long as a dispatcher remembers an upstream that has left and does not answer, it takes its list
	// for incomplete.
	soakMinRest = 10_500 * time.Millisecond
	soakMaxRest = 12 * time.Second
)

// replacement replaces an upstream: a spare one joins, then the old one drains and leaves.
type replacement struct {
	old     int           // chooses one of the upstreams that have joined
	pause   time.Duration // before the spare one joins
	overlap time.Duration // from the entry of the spare upstream to the notice of the old one
}

// takeover halts the dispatcher, so that another VM takes over.
type takeover struct {
	halt     func(*soakVM) func()
	before   time.Duration
	duration time.Duration
}

// drawReplacements draws replacements of upstreams during which dispatchers are halted again and
// again, and returns the function that runs them.
func (s *soakTest) drawReplacements(ctx context.Context) func() {
	replacements := make([]replacement, s.options.spareCount())
	for i := range replacements {
		replacements[i] = replacement{s.rng.IntN(len(s.upstreams)), s.randomMillis(200, 1200), s.randomMillis(0, 5000)}
	}
	// Runs outlast a stop of their dispatcher, but mostly not the silence of one that is killed or frozen.
	halts := []func(*soakVM) func(){s.stopGracefully, s.stopGracefully, s.stopGracefully, s.kill, s.freeze}
	takeovers := make([]takeover, 1+s.rng.IntN(soakMaxTakeovers))
	for i := range takeovers {
		takeovers[i] = takeover{halts[s.rng.IntN(len(halts))], s.randomMillis(500, 2500), s.randomMillis(200, 1500)}
	}
	return func() {
		var replacing sync.WaitGroup
		replacing.Go(func() {
			for _, r := range replacements {
				wait.For(ctx, r.pause)
				replacing.Go(func() { s.replace(ctx, r) })
			}
		})
		s.takeOver(ctx, takeovers)
		replacing.Wait()
	}
}

// drawRestAndReplacements draws replacements that begin when the daemons have forgotten the upstreams
// that have left before.
func (s *soakTest) drawRestAndReplacements(ctx context.Context) func() {
	rest := s.randomMillis(int(soakMinRest.Milliseconds()), int(soakMaxRest.Milliseconds()))
	run := s.drawReplacements(ctx)
	return func() {
		wait.For(ctx, rest)
		run()
	}
}

// takeOver halts the dispatchers one after another and returns when all of them run again.
func (s *soakTest) takeOver(ctx context.Context, takeovers []takeover) {
	var halted sync.WaitGroup
	defer halted.Wait()
	var previous *soakVM
	for _, t := range takeovers {
		v := s.awaitDispatcher(ctx, previous)
		if v == nil {
			return
		}
		wait.For(ctx, t.before)
		resume := t.halt(v)
		halted.Go(func() {
			wait.For(ctx, t.duration)
			resume()
		})
		previous = v
	}
}

// replace lets a spare upstream join, if there is one, and an old one drain and leave.
func (s *soakTest) replace(ctx context.Context, r replacement) {
	joined := s.joinSpare()
	if joined == nil {
		return
	}
	wait.For(ctx, r.overlap)
	old := s.joinedUpstream(r.old, joined)
	if old == nil {
		return
	}
	s.recordEvent("upstream %s drains and leaves, %s has joined", old.entry.Name, joined.entry.Name)
	wait.For(ctx, soakDrainTime)
	s.retire(old)
}

// joinSpare lets the upstream that has been spare for longest join. It returns nil if none is
// spare.
func (s *soakTest) joinSpare() *soakUpstream {
	s.mu.Lock()
	if len(s.spares) == 0 {
		s.mu.Unlock()
		return nil
	}
	u := s.spares[0]
	s.spares = s.spares[1:]
	s.mu.Unlock()
	s.recordEvent("upstream %s joins", u.entry.Name)
	s.setDown(u, false)
	u.update(func() { u.spare = false })
	if err := s.writeEntry(u); err != nil {
		s.recordEvent("writing the entry of %s failed: %v", u.entry.Name, err)
	}
	return u
}

// joinedUpstream returns the first upstream from an index on that has joined and does not drain,
// except the given one, and lets it drain.
func (s *soakTest) joinedUpstream(index int, except *soakUpstream) *soakUpstream {
	for i := range s.upstreams {
		u := s.upstreams[(index+i)%len(s.upstreams)]
		if u == except {
			continue
		}
		chosen := false
		u.update(func() {
			if chosen = !u.spare && !u.entry.Draining; chosen {
				u.entry.Draining, u.drainingAt = true, time.Now()
			}
		})
		if chosen {
			return u
		}
	}
	return nil
}

// retire ends the process of an upstream, which becomes a spare one.
func (s *soakTest) retire(u *soakUpstream) {
	s.recordEvent("upstream %s leaves", u.entry.Name)
	u.update(func() { u.spare, u.entry.Draining = true, false })
	s.crash(u, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spares = append(s.spares, u)
}

// isSpare reports whether an upstream has not joined or has left.
func (u *soakUpstream) isSpare() (spare bool) {
	u.update(func() { spare = u.spare })
	return spare
}

// spareCount returns the number of upstreams that are spare at the start.
func (o SoakOptions) spareCount() int {
	if o.OnlySplits || o.OnlyLongSplits != "" {
		return 0
	}
	return max(1, o.Upstreams/soakSpareShare)
}
