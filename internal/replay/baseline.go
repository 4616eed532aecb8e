package replay

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Baseline dispatch policies. Each VM has a share of the slots of every upstream in
// its data centre. It assigns a task to an upstream on arrival, where the task waits in
// a FIFO queue.
const (
	baselineRoundRobin       = "roundrobin"
	baselineLeastOutstanding = "leastoutstanding"
	baselineTwoChoices       = "twochoices"
)

// Delays of the simulated network.
const (
	// taskOverhead is added to every task: the round trip to the upstream.
	taskOverhead = time.Millisecond
	// callOverhead is added to every job: the round trips to the entry VM and the owner.
	callOverhead = 2 * time.Millisecond
)

// simulateBaseline returns the outcomes of a trace under a baseline policy. It uses
// actual run times, and taskOverhead and callOverhead as the only message delays.
// Cancellations are ignored.
func simulateBaseline(layout *Layout, policy string, jobs []TraceJob) []outcome {
	var vms []*baselineVM
	for range layout.DataCentres {
		for index := range layout.VMs {
			vms = append(vms, newBaselineVM(layout, policy, index))
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
			last = max(last, vm.addTask(arrival, float64(task.RunUS)))
		}
		outcomes[i] = outcome{job: job, response: time.Duration((last-arrival)*float64(time.Microsecond)) + callOverhead}
	}
	return outcomes
}

// baselineVM dispatches under one policy. Times are in microseconds.
type baselineVM struct {
	policy    string
	rng       *rand.Rand
	next      int
	upstreams []*baselineUpstream
}

// baselineUpstream is the share of an upstream's slots that belongs to a VM.
type baselineUpstream struct {
	speed       float64
	slotFree    floatHeap // time at which each slot becomes free
	completions floatHeap // completion times of unfinished tasks
}

// newBaselineVM returns the VM with the given index in its data centre.
func newBaselineVM(layout *Layout, policy string, index int) *baselineVM {
	vm := &baselineVM{policy: policy, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range layout.Upstreams {
		share := layout.Slots / layout.VMs
		if (index+i)%layout.VMs < layout.Slots%layout.VMs {
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

// addTask assigns a task that arrives now to an upstream and returns its completion time.
func (vm *baselineVM) addTask(now, work float64) float64 {
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

// floatHeap is a min-heap.
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
