package replay

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"golang.org/x/sync/errgroup"
)

// jobTimeout is the deadline of every replayed job.
const jobTimeout = 15 * time.Second

// outcome is the result of one call.
type outcome struct {
	job      *TraceJob
	response time.Duration
	failure  *verdict.Error // nil if the answer was complete
	partial  bool           // complete answer with a missing or wrong result
}

// notRunAnswer is an answer with the verdict NotRun.
type notRunAnswer struct {
	submission string
	at         time.Time
}

// loadGenerator replays a trace and records the outcomes.
type loadGenerator struct {
	addresses []string

	mu            sync.Mutex // guards the fields below
	clients       map[string]*client.Client
	notRunAnswers []notRunAnswer
	attempts      int
}

func newLoadGenerator(addresses []string) *loadGenerator {
	return &loadGenerator{addresses: addresses, clients: map[string]*client.Client{}}
}

// replay makes every call at its arrival time and waits for all answers.
func (l *loadGenerator) replay(ctx context.Context, jobs []TraceJob) []outcome {
	outcomes := make([]outcome, len(jobs))
	start := time.Now()
	var g errgroup.Group
	for i := range jobs {
		time.Sleep(time.Until(start.Add(time.Duration(jobs[i].ArrivalUS) * time.Microsecond)))
		g.Go(func() error {
			outcomes[i] = l.call(ctx, &jobs[i])
			return nil
		})
	}
	// The functions return no error: failures are in the outcomes.
	_ = g.Wait()
	return outcomes
}

func (l *loadGenerator) call(ctx context.Context, job *TraceJob) outcome {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	begin := time.Now()
	if job.CancelAfterUS > 0 {
		timer := time.AfterFunc(time.Duration(job.CancelAfterUS)*time.Microsecond, func() {
			// The outcome of the call shows whether the cancellation took effect.
			_ = l.client(job.Caller).Cancel(ctx, job.Key)
		})
		defer timer.Stop()
	}
	results, err := l.client(job.Caller).Call(ctx, client.Request{
		Service: job.Service, Call: job.Call, Key: job.Key, Parameters: callParameters(job),
	})
	o := outcome{job: job, response: time.Since(begin), failure: verdict.From(err)}
	if err == nil {
		o.partial = !hasAllResults(job, results)
	}
	return o
}

func (l *loadGenerator) client(caller string) *client.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[caller]
	if c == nil {
		c = client.New(client.Config{Addresses: l.addresses, Caller: caller, Observe: func(a client.Attempt) {
			l.observe(caller, a)
		}})
		l.clients[caller] = c
	}
	return c
}

func (l *loadGenerator) observe(caller string, a client.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	if a.Failure != nil && a.Failure.Verdict == verdict.NotRun {
		l.notRunAnswers = append(l.notRunAnswers, notRunAnswer{caller + "/" + a.Key, a.Finished})
	}
}

// hasAllResults reports whether an answer holds the result of every task of its job,
// in order, and nothing else.
func hasAllResults(job *TraceJob, results []json.RawMessage) bool {
	if len(results) != len(job.Tasks) {
		return false
	}
	for i, raw := range results {
		var result api.StandinResult
		if json.Unmarshal(raw, &result) != nil || result.Task != i || result.Submission != job.Caller+"/"+job.Key {
			return false
		}
	}
	return true
}
