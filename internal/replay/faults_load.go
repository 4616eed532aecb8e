package replay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/verdict"
)

const (
	// faultJobTimeout is the deadline of a job under a fault.
	faultJobTimeout = 3 * time.Second
	// attemptTimeout is the wait after which a call is believed lost and is
	// submitted to another VM, often while the first attempt still runs.
	attemptTimeout = 250 * time.Millisecond
	// maxDuplicateDelay bounds the time from a call to its concurrent copy.
	maxDuplicateDelay = 150 * time.Millisecond
)

// Shares of the jobs that are submitted again under their key.
const (
	concurrentShare = 0.2 // by another client, while the first may run
	repeatedShare   = 0.3 // after the first has ended
)

// balancer spreads requests over the entry VMs. It is safe for concurrent use.
type balancer struct {
	mu        sync.Mutex // guards addresses
	addresses []string
}

func (b *balancer) add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = append(b.addresses, address)
}

func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.DeleteFunc(b.addresses, func(a string) bool { return a == address })
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[rand.IntN(len(b.addresses))]
}

// attempt is one request of a caller.
type attempt struct {
	caller string
	client.Attempt
}

// submission returns the name of the attempt's submission.
func (a *attempt) submission() string { return a.caller + "/" + a.Key }

// isNotRun tells whether the answer said that nothing had run.
func (a *attempt) isNotRun() bool {
	return a.Failure != nil && a.Err == nil && a.Failure.Verdict == verdict.NotRun
}

// attempts collects the requests of every client. It is safe for concurrent
// use.
type attempts struct {
	mu  sync.Mutex // guards all
	all []attempt
}

func (a *attempts) add(caller string, one client.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, attempt{caller, one})
}

func (a *attempts) list() []attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.all)
}

// faultLoad replays a trace with clients that believe calls lost early and
// submit them again under their key to other VMs.
type faultLoad struct {
	balancer *balancer
	attempts *attempts

	mu      sync.Mutex // guards clients
	clients map[string]*client.Client
}

func (l *faultLoad) client(caller string) *client.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[caller]
	if c == nil {
		c = client.New(client.Config{
			Caller: caller, Pick: l.balancer.pick, AttemptTimeout: attemptTimeout,
			Observe: func(a client.Attempt) { l.attempts.add(caller, a) },
		})
		l.clients[caller] = c
	}
	return c
}

// duplicates says when a job is submitted again under its key.
type duplicates struct {
	concurrent, repeated bool
	// delay is the time from the call to its concurrent copy.
	delay time.Duration
	// pause is the time from the end of the call to its repetition.
	pause time.Duration
}

func drawDuplicates(rng *rand.Rand, length time.Duration) duplicates {
	return duplicates{
		concurrent: rng.Float64() < concurrentShare,
		repeated:   rng.Float64() < repeatedShare,
		delay:      time.Duration(rng.Int64N(int64(maxDuplicateDelay))),
		pause:      time.Duration(rng.Int64N(int64(length / 2))),
	}
}

// replay makes every call at its time, and the copies that the seed chooses,
// and returns the outcomes of all when they have ended.
func (l *faultLoad) replay(ctx context.Context, jobs []TraceJob, length time.Duration, rng *rand.Rand) []outcome {
	var calls calls
	begin := time.Now()
	for i := range jobs {
		job, copies := &jobs[i], drawDuplicates(rng, length)
		time.Sleep(time.Until(begin.Add(time.Duration(job.ArrivalUS) * time.Microsecond)))
		calls.group.Go(func() {
			calls.add(l.call(ctx, job))
			if copies.repeated {
				time.Sleep(copies.pause)
				calls.add(l.call(ctx, job))
			}
		})
		if copies.concurrent {
			calls.group.Go(func() {
				time.Sleep(copies.delay)
				calls.add(l.call(ctx, job))
			})
		}
	}
	calls.group.Wait()
	return calls.outcomes
}

// calls are the calls of a load and their outcomes.
type calls struct {
	group sync.WaitGroup

	mu       sync.Mutex // guards outcomes
	outcomes []outcome
}

func (c *calls) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (l *faultLoad) call(ctx context.Context, job *TraceJob) outcome {
	ctx, cancel := context.WithTimeout(ctx, faultJobTimeout)
	defer cancel()
	begin := time.Now()
	results, err := l.client(job.Caller).Call(ctx, client.Request{
		Service: job.Service, Call: job.Call, Key: job.Key, Parameters: callParameters(job),
	})
	o := outcome{job: job, response: time.Since(begin), failure: verdict.From(err)}
	o.partial = err == nil && !hasAllResults(job, results)
	return o
}
