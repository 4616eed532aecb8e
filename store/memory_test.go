package store_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/store/storetest"
)

func TestMemory(t *testing.T) {
	storetest.Run(t, func(_ *testing.T, memory *store.Memory) store.Store { return memory })
}

func TestRateLimited(t *testing.T) {
	storetest.Run(t, func(_ *testing.T, memory *store.Memory) store.Store {
		return store.NewRateLimited(memory, store.NewRateLimiter(store.RateLimiterConfig{
			Rate: 1000, Burst: 1000, BackoffMin: time.Millisecond, BackoffMax: time.Second,
		}))
	})
}
