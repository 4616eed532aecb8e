package replay

import (
	"bytes"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/valyala/fasthttp"
)

const (
	// soakProbeTimeout bounds a request for the metrics of a VM.
	soakProbeTimeout = 100 * time.Millisecond
	// soakTakeoverTimeout bounds the wait for the next dispatcher.
	soakTakeoverTimeout = 3 * time.Second
	// soakResetDelay is the time from a cut to the reset of the connections that it affects.
	soakResetDelay = 50 * time.Millisecond
)

// onlySeries returns the function that draws the only series that is injected, or nil if all faults
// are.
func (s *soakTest) onlySeries() func(context.Context) func() {
	switch {
	case s.options.OnlySplits:
		return s.drawSplit
	case s.options.OnlyReplacements:
		return s.drawRestAndReplacements
	case s.options.OnlyLongSplits != "":
		return func(ctx context.Context) func() { return s.longSplitOf(ctx, s.options.OnlyLongSplits) }
	}
	return nil
}

// injectSeries injects a series of faults that aim at the dispatcher or at the upstreams
// that run tasks. It runs on its own goroutine, so that the next faults may overlap it.
func (s *soakTest) injectSeries(ctx context.Context, pending *sync.WaitGroup) {
	// Each function draws the random values and returns the function that runs the series.
	series := []func(context.Context) func(){
		s.freezeDispatchers, s.freezeDispatchers, s.cutUpstreams, s.cutUpstreams,
		s.refuseAndReset, s.isolateDispatcher, s.restartBehindCut, s.drawSplit, s.drawSplit, s.drawSplit, s.drawLongSplit,
		s.drawReplacements, s.drawReplacements,
	}
	run := s.disturbed(series[s.rng.IntN(len(series))](ctx))
	pending.Go(run)
}

// freezeDispatchers freezes the dispatcher, and often the next one while the first is
// still frozen. Now and then, two upstreams are cut off meanwhile.
func (s *soakTest) freezeDispatchers(ctx context.Context) func() {
	first, second := s.randomMillis(200, 1200), s.randomMillis(200, 1200)
	if s.rng.IntN(4) == 0 {
		first = s.randomMillis(1200, 5000)
	}
	both := s.rng.IntN(2) == 0
	cutCount := 0
	if s.rng.IntN(3) == 0 {
		cutCount = 2
	}
	return func() {
		v := s.dispatcher(nil)
		if v == nil {
			return
		}
		heal := s.cutAll(s.busiestUpstreams(cutCount), s.vms, cutBoth)
		defer heal()
		var faults sync.WaitGroup
		defer faults.Wait() // before the cut is healed
		resume := s.freeze(v)
		faults.Go(func() {
			wait.For(ctx, first)
			resume()
		})
		if !both {
			return
		}
		if next := s.awaitDispatcher(ctx, v); next != nil {
			resumeNext := s.freeze(next)
			wait.For(ctx, second)
			resumeNext()
		}
	}
}

// cutUpstreams cuts two upstreams off from all VMs or from the dispatcher, for longer than
// the lease of their runs, and may freeze the dispatcher meanwhile.
func (s *soakTest) cutUpstreams(ctx context.Context) func() {
	how, duration := pathCut(s.rng.IntN(int(pathCuts))), s.randomMillis(1500, 5500)
	onlyDispatcher := s.rng.IntN(4) == 0
	frozen := time.Duration(0)
	if s.rng.IntN(3) == 0 {
		frozen = s.randomMillis(200, 1000)
	}
	return func() {
		vms, v := s.vms, s.dispatcher(nil)
		if onlyDispatcher && v != nil {
			vms = []*soakVM{v}
		}
		heal := s.cutAll(s.busiestUpstreams(2), vms, how)
		if frozen > 0 && v != nil {
			resume := s.freeze(v)
			wait.For(ctx, frozen)
			resume()
		}
		wait.For(ctx, duration-frozen)
		heal()
	}
}

// refuseAndReset cuts upstreams off so that they refuse connections, and resets open ones,
// while the upstreams work on.
func (s *soakTest) refuseAndReset(ctx context.Context) func() {
	count, duration := 1+s.rng.IntN(3), s.randomMillis(300, 2500)
	return func() {
		cut := s.busiestUpstreams(count)
		heal := s.cutAll(cut, s.vms, cutRefuse)
		wait.For(ctx, soakResetDelay)
		for _, u := range cut {
			s.resetUpstream(u, s.vms)
		}
		wait.For(ctx, duration)
		heal()
	}
}

// isolateDispatcher cuts the dispatcher off from the store and the other VMs, or only from
// the store, and from some upstreams.
func (s *soakTest) isolateDispatcher(ctx context.Context) func() {
	count, how, duration := s.rng.IntN(3), pathCut(s.rng.IntN(int(pathCuts))), s.randomMillis(500, 5000)
	isolated := s.rng.IntN(2) == 0
	return func() {
		v := s.dispatcher(nil)
		if v == nil {
			return
		}
		heal := s.cutAll(s.busiestUpstreams(count), []*soakVM{v}, how)
		end := s.cutStore
		if isolated {
			end = s.isolate
		}
		healVM := end(v)
		wait.For(ctx, duration)
		healVM()
		heal()
	}
}

// restartBehindCut replaces the process of an upstream that is cut off.
func (s *soakTest) restartBehindCut(ctx context.Context) func() {
	before, down, after := s.randomMillis(0, 1500), s.randomMillis(0, 300), s.randomMillis(0, 2500)
	return func() {
		cut := s.busiestUpstreams(1)
		heal := s.cutAll(cut, s.vms, cutBoth)
		wait.For(ctx, before)
		s.recordEvent("crash %s behind the cut", cut[0].entry.Name)
		s.crash(cut[0], down)
		wait.For(ctx, down+after)
		heal()
	}
}

// cutAll cuts upstreams off from VMs and returns the function that heals all of them.
func (s *soakTest) cutAll(upstreams []*soakUpstream, vms []*soakVM, how pathCut) func() {
	heals := make([]func(), 0, len(upstreams))
	for _, u := range upstreams {
		heals = append(heals, s.cutUpstream(u, vms, how))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// busiestUpstreams returns the upstreams with the most active runs.
func (s *soakTest) busiestUpstreams(n int) []*soakUpstream {
	runs := s.checker.activeRuns()
	busiest := slices.Clone(s.upstreams)
	slices.SortStableFunc(busiest, func(a, b *soakUpstream) int { return runs[b.entry.Name] - runs[a.entry.Name] })
	return busiest[:min(n, len(busiest))]
}

// dispatcher returns the VM with the highest fencing token among those that answer, except
// the given one, or nil if none dispatches.
func (s *soakTest) dispatcher(except *soakVM) *soakVM {
	var found *soakVM
	highest := 0.0
	for _, v := range s.vms {
		if v == except {
			continue
		}
		if token := v.token(); token > highest {
			found, highest = v, token
		}
	}
	return found
}

// awaitDispatcher waits until another VM dispatches and returns it, or nil.
func (s *soakTest) awaitDispatcher(ctx context.Context, previous *soakVM) *soakVM {
	for end := time.Now().Add(soakTakeoverTimeout); time.Now().Before(end); {
		if v := s.dispatcher(previous); v != nil {
			return v
		}
		if !wait.For(ctx, pollInterval) {
			break
		}
	}
	return nil
}

// token returns the fencing token of a VM's term by its metrics, or 0 if it has none or
// does not answer.
func (v *soakVM) token() float64 {
	host, _, _ := net.SplitHostPort(v.callerAddr) // addVM has built it
	status, body, err := fasthttp.GetTimeout(nil, "http://"+net.JoinHostPort(host, v.metricsPort)+"/metrics", soakProbeTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return 0
	}
	for line := range bytes.Lines(body) {
		if value, found := bytes.CutPrefix(line, []byte("mustardstep_term_token ")); found {
			token, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
			if err != nil {
				return 0
			}
			return token
		}
	}
	return 0
}
