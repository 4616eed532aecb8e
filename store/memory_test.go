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

func TestLimited(t *testing.T) {
	storetest.Run(t, func(_ *testing.T, memory *store.Memory) store.Store {
		return store.NewLimited(memory, store.NewBudget(store.BudgetConfig{
			Rate: 1000, Burst: 1000, BackoffMin: time.Millisecond, BackoffMax: time.Second,
		}))
	})
}
