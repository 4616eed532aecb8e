package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve runs jobs of one task each; upstreams in bad fail at once and the
// others take 100 ms. It returns the number of failed tasks.
func serve(t *testing.T, d *Dispatcher, jobs int, bad map[string]bool) int {
	failed, now := 0, start
	for i := range jobs {
		now = now.Add(10 * time.Millisecond)
		d.Tick(now)
		assignments, failure := d.Add(now, makeTasks(normalCall, fmt.Sprint(i), 1))
		require.Nil(t, failure)
		for _, a := range assignments {
			r := Result{Took: 100 * time.Millisecond}
			if bad[a.Upstream.Name] {
				r = Result{Ending: Failed, Took: time.Millisecond}
				failed++
			}
			d.Finish(now, a, r, nil)
		}
	}
	return failed
}

func TestBlackHoleAttractsNoWork(t *testing.T) {
	d := newTest(1000, 8, 8, 8, 8)
	failed := serve(t, d, 1000, map[string]bool{"u2": true})
	require.LessOrEqual(t, failed, 3, "three submissions prove it at most")
}

func TestNeverAllEjected(t *testing.T) {
	d := newTest(1000, 8, 8, 8, 8)
	require.Equal(t, 1000, serve(t, d, 1000, map[string]bool{"u0": true, "u1": true, "u2": true, "u3": true}),
		"every task is still placed")
	require.LessOrEqual(t, d.pool("s").outlook.Load().ejected, 2)
}

func TestSlowIsNotEjected(t *testing.T) {
	d := newTest(1000, 1, 1)
	for i := range 50 {
		for _, a := range add(t, d, start, normalCall, fmt.Sprint(i), 2) {
			d.Finish(start, a, Result{Took: time.Minute}, nil)
		}
	}
	require.Zero(t, d.Ejections())
}

func TestOwnNoticeOutweighsTheList(t *testing.T) {
	d := newTest(1000, 2, 2)
	a := add(t, d, start, normalCall, "k", 1)[0]
	next, _ := d.Finish(start, a, Result{Ending: Refused, Leaving: true}, nil)
	require.Len(t, next, 1)
	require.NotEqual(t, a.Upstream.Name, next[0].Upstream.Name)
	d.SetUpstreams(start.Add(time.Second), "s", upstreamsOf(2, 2))
	for _, b := range add(t, d, start.Add(time.Second), normalCall, "l", 4) {
		require.NotEqual(t, a.Upstream.Name, b.Upstream.Name)
	}
}

// A process that may not start tasks for a while withholds them; its upstreams
// are not to blame.
func TestWithheldTasksBlameNoUpstream(t *testing.T) {
	d := newTest(1000, 8, 8, 8, 8)
	var running []Assignment
	for job := range 4 * 8 {
		running = append(running, add(t, d, start, normalCall, fmt.Sprint(job), 1)...)
	}
	require.Len(t, running, 4*8)
	for range 5 {
		var again []Assignment
		for _, a := range running {
			next, dropped := d.Finish(start, a, Result{Ending: Withheld}, nil)
			require.False(t, dropped)
			again = append(again, next...)
		}
		running = again
		require.Len(t, running, 4*8)
	}
	require.Zero(t, d.Ejections())
}
