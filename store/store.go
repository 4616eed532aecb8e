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
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("the lease has ended")
	// ErrRefused means that the store did nothing: it is too busy, or turns this
	// VM away.
	ErrRefused = errors.New("the store refused the call")
	// ErrTooLarge means that nothing was done since a value or a transaction is
	// above its limit.
	ErrTooLarge = errors.New("the store does not hold values or transactions of this size")
)

// Limits of a Store (the platform's page on its metadata store).
const (
	// MaxValueSize is the largest value of an entry, in bytes.
	MaxValueSize = 1 << 20
	// MaxTxnOps is the most conditions, writes and removals of one transaction.
	MaxTxnOps = 32
)

// ConflictError tells that a condition of a transaction did not hold, so that
// nothing was done.
type ConflictError struct {
	// Items are the entries of the conditions as they are; absent ones are left
	// out.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return "an entry of the store has changed" }

// Condition requires that the last change of an entry has a revision.
type Condition struct {
	Key string
	// Revision is 0 where the entry must be absent.
	Revision int64
}

// Write sets an entry under a lease; 0 stands for none.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn changes entries, all or none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Validate returns ErrTooLarge for a transaction that no store takes.
func (t *Txn) Validate() error {
	if n := len(t.Conditions) + len(t.Writes) + len(t.Deletes); n > MaxTxnOps {
		return errors.Wrapf(ErrTooLarge, "%d entries, more than %d", n, MaxTxnOps)
	}
	for _, w := range t.Writes {
		if len(w.Value) > MaxValueSize {
			return errors.Wrapf(ErrTooLarge, "%s has %d bytes, more than %d", w.Key, len(w.Value), MaxValueSize)
		}
	}
	return nil
}

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
	// Commit makes a change and returns its revision. Where a condition does not
	// hold, the error is a *ConflictError.
	Commit(ctx context.Context, change Txn) (revision int64, err error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease, which removes its entries.
	Revoke(ctx context.Context, lease int64) error
}

// Put writes an entry under a lease; 0 stands for none.
func Put(ctx context.Context, s Store, key string, value []byte, lease int64) error {
	_, err := s.Commit(ctx, Txn{Writes: []Write{{key, value, lease}}})
	return err
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
