package ownership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/mustardstep/mustardstep/submission"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed and number of checks unless flags set them.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestAtMostOnce interleaves faults with submissions and resubmissions. It fails
// if a task starts twice, if a submission that has started is answered "not run",
// or if a caller receives the answer of another submission.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 60 {
			w.fault(rapid.IntRange(0, 21).Draw(t, "event"))
			w.deliver(false)
			w.progress()
		}
		w.partitioned = false
		clear(w.isolated)
		for _, p := range w.processes {
			p.frozen = false
		}
		w.deliver(true)
		w.advance(20)
	})
}

// fault applies one random event: a fault, a recovery or a submission.
func (w *world) fault(kind int) {
	vm := rapid.SampledFrom(w.vms).Draw(w.t, "vm")
	p := w.processes[vm]
	isAlive := p != nil && p.alive
	w.logf("event %d at %s", kind, vm)
	switch kind {
	case 0, 1:
		if isAlive {
			p.alive = false
		}
	case 2, 3, 4:
		w.startProcess(vm)
	case 5, 6:
		if isAlive {
			p.frozen = !p.frozen
		}
	case 7:
		w.partitioned = !w.partitioned
	case 8:
		if isAlive && !p.frozen {
			p.leaving = true
		}
	case 9:
		w.listedGone[vm] = !w.listedGone[vm]
	case 10:
		w.deliver(true)
	case 11:
		w.dropMessage()
	case 12:
		w.isolated[vm] = !w.isolated[vm]
	case 13:
		w.partition(p)
	case 14, 15, 16:
		w.advance(rapid.IntRange(1, 14).Draw(w.t, "intervals"))
	default:
		if isAlive && !p.frozen {
			caller := rapid.SampledFrom([]string{"x", "y"}).Draw(w.t, "caller")
			w.submit(p, submission.ID{Caller: caller, Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(w.t, "key"))})
		}
	}
}

// partition isolates a VM for some intervals and submits one key on both sides of
// the partition.
func (w *world) partition(p *process) {
	if p == nil || !w.running(p) {
		return
	}
	w.isolated[p.vm] = true
	w.advance(rapid.IntRange(1, 6).Draw(w.t, "intervals"))
	id := submission.ID{Caller: "x", Key: fmt.Sprint(rapid.IntRange(6, 30).Draw(w.t, "key"))}
	w.submit(p, id)
	w.eachRunning(func(other *process) {
		if !w.isolated[other.vm] {
			w.submit(other, id)
		}
	})
	w.deliver(false)
	w.progress()
	w.progress()
	w.isolated[p.vm] = false
}

// TestWorldCompletesCalls checks that the simulation completes calls without
// faults. Otherwise TestAtMostOnce would check nothing.
func TestWorldCompletesCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.advance(10)
		for i, vm := range w.vms[:3] {
			w.submit(w.processes[vm], submission.ID{Caller: "x", Key: fmt.Sprint(i)})
		}
		for range 4 {
			w.deliver(true)
			w.advance(5)
		}
		if w.answers["complete"] == 0 {
			t.Fatalf("no call completed: %v", w.answers)
		}
	})
}
