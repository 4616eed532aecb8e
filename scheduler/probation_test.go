package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireProbations requires that some of the given upstreams, and no others, were on probation.
func (r *unevenReplay) requireProbations(allowed ...string) {
	require.Subset(r.t, allowed, r.onProbation)
	require.Equal(r.t, len(allowed) > 0, len(r.onProbation) > 0)
}

// TestFlappingUpstreamsKeepGettingTasks guards against upstreams that lose the same work again
// at each of their crashes. Load: all kinds at the rate of the deployment for 20 s; 3 of 36
// upstreams crash and return every 1.4 to 1.8 s.
func TestFlappingUpstreamsKeepGettingTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		r := newUnevenReplay(t, 36, 1, seed)
		names, next := []string{"u1", "u5", "u9"}, [3]time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}
		r.run(20*time.Second, func(elapsed time.Duration) {
			for i, name := range names {
				if elapsed < next[i] {
					continue
				}
				next[i] += time.Duration(1400+r.random.IntN(400)) * time.Millisecond
				if r.down[name] {
					r.restart(name)
				} else {
					r.crash(name)
				}
			}
		})
		r.report()
		r.requireProbations(names...)
	}
}

// TestUpstreamsThatFailRunsKeepGettingTasks guards against upstreams that answer polls and fail
// or hang half of the time. Load: as above for 24 s; u2 fails, and u7 hangs, for 2 s of every
// 4 s.
func TestUpstreamsThatFailRunsKeepGettingTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		r := newUnevenReplay(t, 36, 1, seed)
		r.run(24*time.Second, func(elapsed time.Duration) {
			bad := func(at time.Duration) bool { return at%(4*time.Second) < 2*time.Second }
			r.upstreams["u2"].Fail, r.upstreams["u7"].Stall = bad(elapsed), bad(elapsed+time.Second)
		})
		r.report()
		r.requireProbations("u2", "u7")
	}
}

// TestUpstreamIsOnProbationForOtherCause guards against a probation of upstreams that fell
// because of something else. Load: all kinds at a third of the rate of the deployment for
// 12 s, on 18 upstreams; each event happens every 2 s.
func TestUpstreamIsOnProbationForOtherCause(t *testing.T) {
	t.Parallel()
	rack := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	group := func(fall, back func(*unevenReplay, string)) func(*unevenReplay, int, time.Duration) {
		return func(r *unevenReplay, _ int, at time.Duration) {
			for i, u := range rack {
				switch at {
				case time.Duration(i%4) * 10 * time.Millisecond: // detected within commonCauseTime
					fall(r, u)
				case time.Second + time.Duration(i)*70*time.Millisecond:
					back(r, u)
				}
			}
		}
	}
	for name, event := range map[string]func(r *unevenReplay, round int, at time.Duration){
		"the loss of a rack": group((*unevenReplay).crash, (*unevenReplay).restart),
		"a rack that is cut off": group(func(r *unevenReplay, u string) {
			r.down[u] = true
			r.apply(r.scheduler.HandleSuspectedCrash(r.now, u, ""))
		}, func(r *unevenReplay, u string) { r.down[u] = false }),
		"the silent loss of a rack": group(func(r *unevenReplay, u string) { r.down[u] = true }, (*unevenReplay).restart),
		"planned replacements": func(r *unevenReplay, _ int, at time.Duration) {
			switch at {
			case 0:
				r.list[1].Draining = true
			case 800 * time.Millisecond:
				r.crash("u1")
			case time.Second:
				r.list[1].Draining = false
			case 1200 * time.Millisecond:
				r.restart("u1")
			}
			r.scheduler.SetUpstreams(r.now, r.list, false)
		},
		"single crashes of several upstreams": func(r *unevenReplay, round int, at time.Duration) {
			switch at {
			case 0:
				r.crash(rack[round])
			case time.Second:
				r.restart(rack[round])
			}
		},
		"poisoned jobs": func(r *unevenReplay, round int, at time.Duration) { // crash each upstream after 80 ms
			if at%(500*time.Millisecond) == 0 {
				j := r.job(fmt.Sprintf("deadly-%d-%v", round, at), 0)
				j.Queue, j.Estimate = "D", 100*time.Millisecond
				r.jobs[j.ID] = &unevenJob{work: []time.Duration{time.Second}}
				r.offer(j)
			}
			for run, started := range r.started {
				if len(run.Job) == 16 {
					continue
				}
				for _, u := range r.list {
					if r.upstreams[u.Name].HasRun(run.Task) && r.now.Sub(started) >= 80*time.Millisecond {
						r.crash(u.Name)
						r.returns[u.Name] = r.now.Add(500 * time.Millisecond)
					}
				}
			}
			for u, at := range r.returns {
				if !r.now.Before(at) {
					delete(r.returns, u)
					r.restart(u)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newUnevenReplay(t, 18, 0.33, 1)
			r.run(12*time.Second, func(elapsed time.Duration) {
				event(r, int(elapsed/(2*time.Second)), elapsed%(2*time.Second))
			})
			if name == "poisoned jobs" {
				require.Greater(t, r.without, 20, "they crash upstreams")
			}
			r.requireProbations()
		})
	}
}
