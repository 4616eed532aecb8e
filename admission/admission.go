// Package admission limits the unfinished tasks of each caller and the rate of
// retried offers. It imports no network package and reads no clock.
package admission

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// shardCount is the number of locks that callers are spread over.
const shardCount = 16

// Quotas limits the unfinished tasks of each caller. It is safe for concurrent
// use; its zero value is not usable.
type Quotas struct{ shards [shardCount]shard }

// shard holds the task counts of the callers whose names hash to it.
type shard struct {
	mu    sync.Mutex // guards tasks
	tasks map[string]int
}

// NewQuotas returns quotas with no tasks admitted.
func NewQuotas() *Quotas {
	q := &Quotas{}
	for i := range q.shards {
		q.shards[i].tasks = map[string]int{}
	}
	return q
}

func (q *Quotas) shard(caller string) *shard {
	return &q.shards[rendezvous.Hash(caller)%shardCount]
}

// quotaRetryAfter is the retry advice to a caller above its quota.
const quotaRetryAfter = 200 * time.Millisecond

// Admit admits all tasks of a submission or none. A limit of 0 admits any
// number. An error has the verdict NotRun. Each success must be followed by one
// Release of as many tasks.
func (q *Quotas) Admit(caller string, tasks, limit int) *verdict.Error {
	s := q.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	unfinished := s.tasks[caller]
	if limit > 0 && unfinished+tasks > limit {
		return verdict.Errorf(verdict.NotRun, verdict.CodeQuota,
			"caller %s has %d unfinished tasks on this VM; %d more would exceed its quota of %d", caller, unfinished, tasks, limit).
			WithRetryAfter(quotaRetryAfter)
	}
	s.tasks[caller] = unfinished + tasks
	return nil
}

// Release subtracts the tasks of a completed submission.
func (q *Quotas) Release(caller string, tasks int) {
	s := q.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[caller] -= tasks; s.tasks[caller] <= 0 {
		delete(s.tasks, caller)
	}
}

// Limits of a RetryBudget.
const (
	// retryRatio is the number of retries that each new task adds to the
	// budget.
	retryRatio = 0.1
	// maxRetries is the largest budget that accumulates.
	maxRetries = 100
)

// RetryBudget limits how often refused tasks are offered again, so that retries
// cannot amplify an overload. It is safe for concurrent use. Its zero value is
// a full budget.
type RetryBudget struct {
	mu   sync.Mutex // guards used
	used float64    // retries withdrawn and not yet earned back, up to maxRetries
}

// Deposit adds the budget that new tasks earn.
func (b *RetryBudget) Deposit(tasks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(b.used-retryRatio*float64(tasks), 0)
}

// TryWithdraw takes one retry from the budget. It returns false if the budget
// is exhausted.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+1 > maxRetries {
		return false
	}
	b.used++
	return true
}
