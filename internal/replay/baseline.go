package replay

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Plain dispatch policies to measure against. Each VM has its share of the slots
// of every upstream of its data centre, and binds a task to an upstream on
// arrival; the task then waits there, first come, first served.
const (
	baselineRoundRobin       = "roundrobin"
	baselineLeastOutstanding = "leastoutstanding"
	baselineTwoChoices       = "twochoices"
)

// Delays of the simulated network.
const (
	// taskOverhead is added to every task: a round trip to the upstream.
	taskOverhead = time.Millisecond
	// callOverhead is added to every job: the caller and the owner.
	callOverhead = 2 * time.Millisecond
)

// simulateBaseline returns the outcomes of a trace under a policy, with true run
// times and no other messages than taskOverhead and callOverhead stand for. Jobs
// that are cancelled run to their end.
func simulateBaseline(layout *Layout, policy string, jobs []TraceJob) []outcome {
	var vms []*baselineVM
	for range layout.DataCentres {
		for at := range layout.VMs {
			vms = append(vms, newBaselineVM(layout, policy, at))
		}
	}
	outcomes := make([]outcome, len(jobs))
	for i := range jobs {
		job := &jobs[i]
		hash := fnv.New32a()
		hash.Write([]byte(job.Caller + "/" + job.Key))
		vm := vms[int(hash.Sum32())%len(vms)]
		arrival := float64(job.ArrivalUS)
		last := arrival
		for _, task := range job.Tasks {
			last = max(last, vm.run(arrival, float64(task.RunUS)))
		}
		outcomes[i] = outcome{job: job, response: time.Duration((last-arrival)*float64(time.Microsecond)) + callOverhead}
	}
	return outcomes
}

// baselineVM dispatches by one policy. Times are in microseconds.
type baselineVM struct {
	policy    string
	rng       *rand.Rand
	next      int
	upstreams []*baselineUpstream
}

// baselineUpstream is the share of an upstream's slots that belongs to a VM.
type baselineUpstream struct {
	speed       float64
	slotFree    floatHeap // when each slot is free
	completions floatHeap // of the tasks that have not ended
}

// newBaselineVM returns the VM at a place of its data centre.
func newBaselineVM(layout *Layout, policy string, at int) *baselineVM {
	vm := &baselineVM{policy: policy, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range layout.Upstreams {
		share := layout.Slots / layout.VMs
		if (at+i)%layout.VMs < layout.Slots%layout.VMs {
			share++
		}
		if share > 0 {
			vm.upstreams = append(vm.upstreams, &baselineUpstream{
				speed: layout.Speeds[i%len(layout.Speeds)], slotFree: make(floatHeap, share),
			})
		}
	}
	return vm
}

// run binds a task that arrives at a time and returns when it ends.
func (vm *baselineVM) run(now, work float64) float64 {
	for _, u := range vm.upstreams {
		for len(u.completions) > 0 && u.completions[0] <= now {
			heap.Pop(&u.completions)
		}
	}
	u := vm.choose()
	begin := max(now, u.slotFree[0])
	end := begin + work/u.speed + float64(taskOverhead.Microseconds())
	u.slotFree[0] = end
	heap.Fix(&u.slotFree, 0)
	heap.Push(&u.completions, end)
	return end
}

func (vm *baselineVM) choose() *baselineUpstream {
	switch vm.policy {
	case baselineTwoChoices:
		a, b := vm.upstreams[vm.rng.IntN(len(vm.upstreams))], vm.upstreams[vm.rng.IntN(len(vm.upstreams))]
		if len(b.completions) < len(a.completions) {
			return b
		}
		return a
	case baselineLeastOutstanding:
		best := vm.upstreams[0]
		for _, u := range vm.upstreams {
			if len(u.completions) < len(best.completions) {
				best = u
			}
		}
		return best
	default:
		vm.next++
		return vm.upstreams[vm.next%len(vm.upstreams)]
	}
}

// floatHeap has the least number first.
type floatHeap []float64

func (h floatHeap) Len() int           { return len(h) }
func (h floatHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h floatHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *floatHeap) Push(x any)        { *h = append(*h, x.(float64)) }
func (h *floatHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
