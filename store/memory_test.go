package store_test

import (
	"testing"

	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/store/storetest"
)

func TestMemory(t *testing.T) {
	storetest.Run(t, func(_ *testing.T, memory *store.Memory) store.Store { return memory })
}
