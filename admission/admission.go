// Package admission decides which submissions may enter and how often refused
// tasks are offered again. It imports no network package and reads no clock.
package admission

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// shardCount spreads the callers over locks.
const shardCount = 16

// Quotas bounds the unfinished tasks of each caller. It is safe for concurrent
// use; its zero value is not usable.
type Quotas struct{ shards [shardCount]shard }

// shard holds the callers whose names hash to it.
type shard struct {
	mu    sync.Mutex // guards tasks
	tasks map[string]int
}

// NewQuotas returns quotas without tasks.
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

// quotaRetryAfter is the wait that is advised to a caller above its quota.
const quotaRetryAfter = 200 * time.Millisecond

// Admit enters the tasks of a submission, all or none. A limit of 0 admits any
// number. A failure has the verdict NotRun. Each success is followed by one
// Release of as many tasks.
func (q *Quotas) Admit(caller string, tasks, limit int) *verdict.Error {
	s := q.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.tasks[caller]
	if limit > 0 && held+tasks > limit {
		return verdict.Errorf(verdict.NotRun, verdict.CodeQuota,
			"caller %s has %d unfinished tasks here; %d more exceed its quota of %d", caller, held, tasks, limit).
			WithRetryAfter(quotaRetryAfter)
	}
	s.tasks[caller] = held + tasks
	return nil
}

// Release takes out the tasks of a submission that has ended.
func (q *Quotas) Release(caller string, tasks int) {
	s := q.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[caller] -= tasks; s.tasks[caller] <= 0 {
		delete(s.tasks, caller)
	}
}

// Bounds of a RetryBudget.
const (
	// retryShare is the number of repeated offers that each new task earns.
	retryShare = 0.1
	// maxRetries is the most that is saved up.
	maxRetries = 100
)

// RetryBudget bounds how often refused tasks are offered again, so that
// refusals cannot amplify an overload. It is safe for concurrent use; its zero
// value is usable.
type RetryBudget struct {
	mu    sync.Mutex // guards spent
	spent float64    // of maxRetries
}

// Deposit enters new tasks.
func (b *RetryBudget) Deposit(tasks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retryShare*float64(tasks), 0)
}

// TryWithdraw takes one repeated offer from the budget, or returns false.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}
