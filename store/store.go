// Package store defines what the system needs of the platform's key-value
// service. The adapter in platform/ and Memory implement it; both pass the suite
// in store/storetest.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. Any other error leaves open whether a change was made.
var (
	// ErrCompacted means that the history after the given revision is gone; the
	// keys have to be read anew.
	ErrCompacted = errors.New("the store has dropped this part of its history")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("the lease has ended")
	// ErrRefused means that the store did nothing: it is too busy, or turns this
	// VM away.
	ErrRefused = errors.New("the store refused the call")
)

// Item is an entry.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change.
	Revision int64
}

// Event is a change of an entry.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a listing.
type Page struct {
	Items []Item
	// More tells that entries follow behind the last one.
	More bool
	// Revision is that of the store.
	Revision int64
}

// Store is the key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Range lists entries under a prefix whose keys follow after. With stale, the
	// listing may be seconds old; it costs a tenth and counts against no rate.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits until an entry under a prefix changes after a revision, or the
	// wait is over. It returns the revision from which to go on.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Put writes an entry under a lease; 0 stands for none.
	Put(ctx context.Context, key string, value []byte, lease int64) error
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease int64) error
	// End ends a lease, which removes its entries.
	End(ctx context.Context, lease int64) error
}

// List reads every entry under a prefix, page by page.
func List(ctx context.Context, s Store, prefix string, stale bool) ([]Item, int64, error) {
	var items []Item
	revision, after := int64(0), ""
	for {
		page, err := s.Range(ctx, prefix, after, stale)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision // pages are no snapshot: the watch starts at the first
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
