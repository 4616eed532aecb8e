package replay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/verdict"
	"golang.org/x/sync/errgroup"
)

const (
	// faultJobTimeout is the deadline of a job under a fault.
	faultJobTimeout = 6 * time.Second
	// attemptTimeout is the wait after which a call is believed lost and is
	// submitted to another VM, often while the first attempt still runs.
	attemptTimeout = 250 * time.Millisecond
	// maxCopyDelay bounds the time from a call to its concurrent copy.
	maxCopyDelay = 150 * time.Millisecond
)

// Shares of the jobs that are submitted again under their key.
const (
	concurrentShare = 0.2 // by another client, while the first may run
	repeatedShare   = 0.1 // after the first has ended
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

// denies tells whether the answer said that nothing had run.
func (a *attempt) denies() bool {
	return a.Failure != nil && a.Lost == nil && a.Failure.Verdict == verdict.NotRun
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

// impatientLoad replays a trace with clients that believe calls lost early and
// submit them again under their key to other VMs.
type impatientLoad struct {
	balancer *balancer
	attempts *attempts

	mu      sync.Mutex // guards clients
	clients map[string]*client.Client
}

func (l *impatientLoad) client(caller string) *client.Client {
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

// replay makes every call at its time, and the copies that the seed chooses,
// and returns the outcomes of all when they have ended.
func (l *impatientLoad) replay(ctx context.Context, jobs []TraceJob, rng *rand.Rand) []outcome {
	var mu sync.Mutex // guards outcomes
	var outcomes []outcome
	call := func(job *TraceJob) {
		o := l.call(ctx, job)
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
	}
	begin := time.Now()
	var g errgroup.Group
	for i := range jobs {
		job := &jobs[i]
		concurrent, repeated := rng.Float64() < concurrentShare, rng.Float64() < repeatedShare
		delay := time.Duration(rng.Int64N(int64(maxCopyDelay)))
		time.Sleep(time.Until(begin.Add(time.Duration(job.ArrivalUS) * time.Microsecond)))
		g.Go(func() error {
			call(job)
			if repeated {
				call(job)
			}
			return nil
		})
		if concurrent {
			g.Go(func() error {
				time.Sleep(delay)
				call(job)
				return nil
			})
		}
	}
	// The calls report their failures in the outcomes.
	_ = g.Wait()
	return outcomes
}

func (l *impatientLoad) call(ctx context.Context, job *TraceJob) outcome {
	ctx, cancel := context.WithTimeout(ctx, faultJobTimeout)
	defer cancel()
	begin := time.Now()
	results, err := l.client(job.Caller).Call(ctx, client.Request{
		Service: job.Service, Call: job.Call, Key: job.Key, Parameters: parametersOf(job),
	})
	o := outcome{job: job, response: time.Since(begin), failure: verdict.From(err)}
	o.partial = err == nil && !whole(job, results)
	return o
}
