package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// newDispatcher returns a node in a term, with one upstream that never answers.
func newDispatcher(t *testing.T) *Node {
	n := newOrigin(t)
	now := time.Now()
	v := n.fleet.View(now, 0)
	n.startTerm(now.Add(-time.Second), &v, "test")
	n.scheduler.SetUpstreams(now, []scheduler.Upstream{{Name: "u1", Service: testQueue.Service, Size: scheduler.Size{MilliCPU: 1000, MemoryMB: 1000}}}, false)
	return n
}

// offerFrom returns the offer of a job by another VM.
func offerFrom(n *Node, vm, job string, incarnation uint64) *wire.OfferRequest {
	return &wire.OfferRequest{
		Job: job, Origin: vm, OriginIncarnation: incarnation, Submission: 1, Term: n.termFor(vm), Queue: testQueue.Name, Service: testQueue.Service,
		Tasks: []int{0}, MilliCPU: 1, MemoryMB: 1, DeadlineUS: time.Hour.Microseconds(), MaxAttempts: 1,
	}
}

// The job of an origin that becomes unreachable while its offer is accepted is kept until the
// deadline: nothing abandons it any more.
func TestOfferIsAcceptedWhileItsOriginBecomesUnreachable(t *testing.T) {
	n := newDispatcher(t)
	unreachable := &fleet.View{}
	for i := range 3000 {
		job := fmt.Sprint("job", i)
		require.True(t, n.acceptOffer(offerFrom(n, "vm1", job+"a", 1)).Accepted)
		offer := offerFrom(n, "vm1", job, 1)
		var accepted bool
		var offers sync.WaitGroup
		begun := make(chan struct{})
		offers.Go(func() {
			close(begun)
			accepted = n.acceptOffer(offer).Accepted
		})
		<-begun
		for range i % 100 {
			n.termFor("vm1") // varies the time of the next call
		}
		n.abandonUnreachable(time.Now(), unreachable)
		offers.Wait()
		n.abandonUnreachable(time.Now(), unreachable)
		_, present := n.scheduler.Offered(job)
		require.False(t, present, "%s is kept, its offer was accepted: %v", job, accepted)
	}
}

// The offer of a process that has ended arrives after one of the process that replaced it.
func TestOfferOfEarlierProcessOfOriginIsKept(t *testing.T) {
	n := newDispatcher(t)
	reachable := &fleet.View{Reachable: []fleet.Heartbeat{{Member: fleet.Member{VM: "vm1", Incarnation: 2}}}}
	late := offerFrom(n, "vm1", "a", 1)
	require.True(t, n.acceptOffer(offerFrom(n, "vm1", "b", 2)).Accepted)
	n.abandonUnreachable(time.Now(), reachable)
	n.acceptOffer(late)
	n.abandonUnreachable(time.Now(), reachable)
	_, present := n.scheduler.Offered("a")
	require.False(t, present)
	_, present = n.scheduler.Offered("b")
	require.True(t, present)
}
