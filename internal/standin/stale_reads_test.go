package standin

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// TestStaleReadsHaveDifferentAges checks the ages of reads that may be stale, and that other reads are
// current.
func TestStaleReadsHaveDifferentAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxAge, step = time.Second, 10 * time.Millisecond
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		faulty := NewFaultyStore(store.NewMemory())
		go func() { _ = faulty.ServeStaleReads(ctx, maxAge) }()
		var ages []time.Duration
		for i := range 1000 {
			faulty.Set("a", []byte(strconv.Itoa(i)))
			time.Sleep(step)
			if i < int(maxAge/step) {
				continue
			}
			current, err := faulty.Range(ctx, "a", "", false)
			require.NoError(t, err)
			require.Equal(t, strconv.Itoa(i), string(current.Items[0].Value))
			page, err := faulty.Range(ctx, "a", "", true)
			require.NoError(t, err)
			require.Equal(t, page.Items[0].Revision, page.Revision)
			ages = append(ages, time.Duration(current.Revision-page.Revision)*step)
		}
		require.Less(t, slices.Min(ages), 2*snapshotInterval)
		require.Greater(t, slices.Max(ages), maxAge-2*snapshotInterval)
		require.LessOrEqual(t, slices.Max(ages), maxAge+2*snapshotInterval)
	})
}
