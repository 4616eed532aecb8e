package scheduler

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/locality"
	"github.com/stretchr/testify/require"
)

// TestTaskStartsOnLeavingUpstream guards against tasks that are lost as their upstream leaves,
// against starts later than a quarter of the drain time, and against a leaving upstream that
// is not used although a task would end in time. Load: one task of kind A (60 ms, 3 of 100
// take 420 ms) waits as the only upstream, of the speed 1, drains.
func TestTaskStartsOnLeavingUpstream(t *testing.T) {
	const drainTime = 2 * time.Second
	kindA := newQueueModel(60 * time.Millisecond)
	for i := range 400 {
		kindA.observe(60*time.Millisecond, map[bool]float64{true: 0.42, false: 0.06}[i%33 == 0])
	}
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		left    time.Duration // in the entry; 0 if there is no notice
		age     time.Duration // of the entry when it was read
		delay   time.Duration // from the reading to the placement
		unknown bool          // the entry was first listed as draining
		change  func(*candidate)
		starts  bool
	}{
		"short task":                    {left: drainTime, starts: true},
		"notice read late":              {left: drainTime, age: 900 * time.Millisecond, starts: true},
		"shortly before a quarter":      {left: drainTime, delay: 470 * time.Millisecond, starts: true},
		"after a quarter":               {left: drainTime, delay: 500 * time.Millisecond},
		"order could arrive after":      {left: drainTime, delay: 490 * time.Millisecond},
		"long notice, after a quarter":  {left: time.Minute, delay: 500 * time.Millisecond},
		"no notice":                     {},
		"outlier would be lost":         {left: 600 * time.Millisecond},
		"outlier would be lost by then": {left: 1100 * time.Millisecond, age: 300 * time.Millisecond, delay: 250 * time.Millisecond},
		"unknown since when":            {left: drainTime, unknown: true},
		"at-most-once":                  {left: drainTime, change: func(c *candidate) { c.job.AtMostOnce = true }},
		"suspect":                       {left: drainTime, change: func(c *candidate) { c.isolation = isolatedAlone }},
		"long task": {left: drainTime, change: func(c *candidate) {
			c.model = newQueueModel(900 * time.Millisecond)
			c.job.Estimate = 900 * time.Millisecond
		}},
		"outliers are not known": {left: drainTime, change: func(c *candidate) {
			c.model = newQueueModel(500 * time.Millisecond)
			c.job.Estimate = 500 * time.Millisecond
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(now, Config{LeaseMax: time.Second, MaxWaiting: 10, DrainTime: drainTime})
			s.BeginTerm(now, 1, time.Second)
			entry := Upstream{Name: "u", Service: "rota", Size: Size{MilliCPU: 1000}}
			s.SetUpstreams(now, []Upstream{entry}, false)
			poll, _, _, _ := s.NextPoll(now, "u")
			s.HandlePollResult(now, poll, PollAnswered, PollReport{Clock: 1000, ProcessStart: 1})
			entry.Draining = true
			if c.left > 0 {
				entry.Notice = &DepartureNotice{DrainingSince: now, Left: c.left, ReadAt: now.Add(-c.age)}
				if c.unknown {
					entry.Notice.DrainingSince = time.Time{}
				}
			}
			s.SetUpstreams(now, []Upstream{entry}, false)
			task := candidate{job: &Job{ID: "a", Service: "rota", Size: Size{MilliCPU: 600}, Estimate: 60 * time.Millisecond}, model: kindA, deadline: now.Add(time.Hour), expected: 0.06}
			if c.change != nil {
				c.change(&task)
			}
			start, ok := s.bind(now.Add(c.delay), task)
			require.Equal(t, c.starts, ok)
			if ok {
				require.LessOrEqual(t, start.Until, 1000+(drainTime/4).Milliseconds(), "a delayed order has no effect later")
				return
			}
			entry.Draining, entry.Notice = false, nil
			s.SetUpstreams(now, []Upstream{entry}, false)
			_, ok = s.bind(now.Add(c.delay), task)
			require.True(t, ok, "it takes tasks again once it no longer drains")
		})
	}
}

// TestTaskWaitsForLeavingUpstream guards against a task that waits for capacity of an upstream that
// leaves before the task would end there. Load: a long task waits for a rack whose only upstream is
// busy and drains.
func TestTaskWaitsForLeavingUpstream(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, Config{LeaseMax: time.Second, MaxWaiting: 10, DrainTime: 2 * time.Second})
	s.BeginTerm(now, 1, time.Second)
	entry := Upstream{Name: "u", Service: "rota", Size: Size{MilliCPU: 1000}, Rack: "r1-0", Labels: []string{"r1-0"}}
	s.SetUpstreams(now, []Upstream{entry}, false)
	poll, _, _, _ := s.NextPoll(now, "u")
	s.HandlePollResult(now, poll, PollAnswered, PollReport{Clock: 1000, ProcessStart: 1})
	short, long := newQueueModel(60*time.Millisecond), newQueueModel(900*time.Millisecond)
	running := candidate{job: &Job{ID: "a", Service: "rota", Size: Size{MilliCPU: 600}, Estimate: 60 * time.Millisecond}, model: short, deadline: now.Add(time.Hour), expected: 0.06}
	_, ok := s.bind(now, running)
	require.True(t, ok)
	entry.Draining, entry.Notice = true, &DepartureNotice{DrainingSince: now, Left: 2 * time.Second, ReadAt: now}
	s.SetUpstreams(now, []Upstream{entry}, false)
	waits := func(model *queueModel, estimate time.Duration) bool {
		c := candidate{job: &Job{ID: "b", Service: "rota", Size: Size{MilliCPU: 600}, Estimate: estimate}, model: model, deadline: now.Add(time.Hour), expected: estimate.Seconds()}
		_, wait := s.searchGroup(now, &c, s.index.Find("rota", "r1-0"))
		return wait < locality.Never
	}
	require.True(t, waits(short, 60*time.Millisecond), "a short task ends in time")
	require.False(t, waits(long, 900*time.Millisecond))
}
