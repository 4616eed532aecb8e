package admission

import (
	"sync"
	"testing"

	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

func TestQuota(t *testing.T) {
	q := NewQuotas()
	for _, c := range []struct {
		name, caller string
		tasks, limit int
		refused      bool
	}{
		{"first", "a", 6, 10, false},
		{"above", "a", 5, 10, true},
		{"up to the limit", "a", 4, 10, false},
		{"another caller", "b", 10, 10, false},
		{"no limit", "a", 1000, 0, false},
	} {
		failure := q.Admit(c.caller, c.tasks, c.limit)
		require.Equal(t, c.refused, failure != nil, c.name)
		if failure != nil {
			require.Equal(t, verdict.NotRun, failure.Verdict)
			require.Equal(t, verdict.CodeQuota, failure.Code)
			require.Positive(t, failure.RetryAfter)
		}
	}
	q.Release("a", 1010)
	require.Nil(t, q.Admit("a", 10, 10))
}

func TestQuotaHoldsUnderConcurrency(t *testing.T) {
	q := NewQuotas()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if q.Admit("a", 3, 10) == nil {
					q.Release("a", 3)
				}
			}
		})
	}
	wg.Wait()
	require.Nil(t, q.Admit("a", 10, 10))
	require.NotNil(t, q.Admit("a", 1, 10))
}

func TestRetryBudgetCannotAmplify(t *testing.T) {
	var b RetryBudget
	retries := 0
	const tasks = 10_000
	for range tasks {
		b.Deposit(1)
		for b.TryWithdraw() {
			retries++
		}
	}
	require.InDelta(t, tasks*retryRatio+maxRetries, float64(retries), 2)
}
