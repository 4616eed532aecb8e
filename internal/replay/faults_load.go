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
	// faultJobTimeout is the deadline of a call under a fault.
	faultJobTimeout = 3 * time.Second
	// attemptTimeout is the time after which a client retries at another VM. It is
	// short, so that the first attempt is often still running.
	attemptTimeout = 250 * time.Millisecond
	// maxDuplicateDelay limits the time from a call to its concurrent duplicate.
	maxDuplicateDelay = 150 * time.Millisecond
)

// Fractions of the jobs that are resubmitted under the same key.
const (
	concurrentShare = 0.2 // while the first call may still be running
	repeatedShare   = 0.3 // after the first call
)

// balancer picks a random entry VM for each request. It is safe for concurrent use.
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

// submission returns the ID of the attempt's submission.
func (a *attempt) submission() string { return a.caller + "/" + a.Key }

// isNotRun reports whether the answer has the verdict NotRun.
func (a *attempt) isNotRun() bool {
	return a.Failure != nil && a.Err == nil && a.Failure.Verdict == verdict.NotRun
}

// attempts records the requests of all clients. It is safe for concurrent use.
type attempts struct {
	mu  sync.Mutex // guards all
	all []attempt
}

func (a *attempts) add(caller string, request client.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, attempt{caller, request})
}

func (a *attempts) list() []attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.all)
}

// faultLoad replays a trace with clients that retry early at other VMs, and with
// duplicate calls under the same key.
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

// duplicates describes the duplicate calls of a job.
type duplicates struct {
	concurrent, repeated bool
	// concurrentDelay is the time from the call to its concurrent duplicate.
	concurrentDelay time.Duration
	// repeatDelay is the time from the end of the call to its repetition.
	repeatDelay time.Duration
}

func drawDuplicates(rng *rand.Rand, length time.Duration) duplicates {
	return duplicates{
		concurrent:      rng.Float64() < concurrentShare,
		repeated:        rng.Float64() < repeatedShare,
		concurrentDelay: time.Duration(rng.Int64N(int64(maxDuplicateDelay))),
		repeatDelay:     time.Duration(rng.Int64N(int64(length / 2))),
	}
}

// replay makes every call at its arrival time, with random duplicates, and returns
// the outcomes once all calls have returned.
func (l *faultLoad) replay(ctx context.Context, jobs []TraceJob, length time.Duration, rng *rand.Rand) []outcome {
	var calls calls
	start := time.Now()
	for i := range jobs {
		job, dup := &jobs[i], drawDuplicates(rng, length)
		time.Sleep(time.Until(start.Add(time.Duration(job.ArrivalUS) * time.Microsecond)))
		calls.group.Go(func() {
			calls.add(l.call(ctx, job))
			if dup.repeated {
				time.Sleep(dup.repeatDelay)
				calls.add(l.call(ctx, job))
			}
		})
		if dup.concurrent {
			calls.group.Go(func() {
				time.Sleep(dup.concurrentDelay)
				calls.add(l.call(ctx, job))
			})
		}
	}
	calls.group.Wait()
	return calls.outcomes
}

// calls collects the outcomes of concurrent calls.
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
