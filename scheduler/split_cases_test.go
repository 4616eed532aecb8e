package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/scheduler"
)

// Short series of faults that the split model has found.

// splitCase returns a split model without random faults, in which vm0 dispatches.
func splitCase(t *testing.T) *splitModel {
	m := newSplitModel(t, 1, true)
	m.latePercent = 0
	m.start()
	return m
}

// at schedules a step of the case.
func (m *splitModel) at(ms int, do func()) { m.after(time.Duration(ms)*time.Millisecond, do) }

// sendLongJob lets a caller send a job of one task, which runs for seconds, to the given VMs.
// Its first connection breaks after the given time, and the origin does not notice.
func (m *splitModel) sendLongJob(breakAfter time.Duration, vms ...int) {
	const id, runTime = "a", 4 * time.Second
	c := &splitCaller{id: id, patience: splitLongPatience, vms: vms, breakAfter: breakAfter}
	c.job = &modelJob{
		job: scheduler.Job{
			Queue: "q", Service: "s", Size: scheduler.Size{MilliCPU: 3000, MemoryMB: 64}, Estimate: runTime, Stretch: 3, MaxAttempts: 3,
		},
		tasks: 1, histories: map[int]history.Task{}, runTime: func(int) time.Duration { return runTime },
	}
	m.callers[id], m.jobs[id] = c, c.job
	m.sendJob(c)
}

// cutOff cuts a VM off from the others.
func (m *splitModel) cutOff(vm int) {
	for other := range m.nodes {
		if other != vm {
			m.cut[link{vm, other}], m.cut[link{other, vm}] = true, true
		}
	}
}

// An origin that is cut off pauses while a request waits in its socket. The caller returns
// elsewhere before the request is read.
func TestRequestThatWaitedForPausedOriginStartsBesideRun(t *testing.T) {
	m := splitCase(t)
	last := len(m.nodes) - 1
	m.at(300, func() { m.cutOff(last) })
	m.at(1500, func() { m.freeze(m.nodes[last], 1500*time.Millisecond) })
	m.at(1600, func() { m.sendLongJob(100*time.Millisecond, last, 0) })
	m.process(5 * time.Second)
}
