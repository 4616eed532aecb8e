package standin

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/store"
)

// snapshotInterval is the interval between the snapshots for reads that may be stale.
const snapshotInterval = 50 * time.Millisecond

// snapshot is a copy of all entries.
type snapshot struct {
	takenAt  time.Time
	items    []store.Item
	revision int64
}

// page returns the entries under a prefix after a key.
func (s *snapshot) page(prefix, after string) store.Page {
	page := store.Page{Revision: s.revision}
	for _, item := range s.items {
		if strings.HasPrefix(item.Key, prefix) && item.Key > after {
			page.Items = append(page.Items, item)
		}
	}
	return page
}

func (f *FaultyStore) takeSnapshot(ctx context.Context) (*snapshot, error) {
	items, revision, err := store.List(ctx, f.Memory, "", false)
	return &snapshot{time.Now(), items, revision}, err
}

// ServeStaleReads answers reads that may be stale from copies of up to a random age until the
// context ends. Each read is of another age.
func (f *FaultyStore) ServeStaleReads(ctx context.Context, maxAge time.Duration) error {
	for {
		taken, err := f.takeSnapshot(ctx)
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.history = append(f.history, taken)
		for len(f.history) > 1 && time.Since(f.history[1].takenAt) >= maxAge {
			f.history = slices.Delete(f.history, 0, 1)
		}
		f.mu.Unlock()
		if !wait.For(ctx, snapshotInterval) {
			return nil
		}
	}
}

// readable returns the snapshot that a read is answered from, or nil if it is answered from the
// store.
func (f *FaultyStore) readable(stale bool) *snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleSnapshot != nil || !stale || len(f.history) == 0 {
		return f.staleSnapshot
	}
	return f.history[rand.IntN(len(f.history))]
}
