// Package store defines the interface to the platform's key-value store.
// Package platform and Memory implement it; both pass the suite in package
// storetest.
package store

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. After any other error, it is unknown whether a change was
// made.
var (
	// ErrCompacted means that the events after the given revision have been
	// dropped. The entries must be listed again.
	ErrCompacted = errors.New("the store has compacted the requested revision")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found or expired")
	// ErrRefused means that nothing was done, because the store is overloaded
	// or rejects this VM, or because the call was not made.
	ErrRefused = errors.New("the store refused the call")
	// ErrTooLarge means that nothing was done, because a value or a transaction
	// exceeds its limit.
	ErrTooLarge = errors.New("value or transaction exceeds the limit of the store")
)

// Limits of a Store, set by the platform.
const (
	// MaxValueSize is the largest size of a value, in bytes.
	MaxValueSize = 1 << 20
	// MaxTxnOps is the largest number of conditions, writes and deletes in a
	// transaction.
	MaxTxnOps = 32
)

// ConflictError means that a condition of a transaction did not hold and
// nothing was done.
type ConflictError struct {
	// Items are the current entries of all conditions, without absent ones.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return "transaction condition failed: an entry has changed" }

// Condition requires that an entry was last changed at a revision.
type Condition struct {
	Key string
	// Revision is 0 if the entry must be absent.
	Revision int64
}

// Write writes an entry under a lease, or under none if Lease is 0.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction. All its changes are made or none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Validate returns ErrTooLarge for a transaction that exceeds the limits of a
// Store.
func (t *Txn) Validate() error {
	if n := len(t.Conditions) + len(t.Writes) + len(t.Deletes); n > MaxTxnOps {
		return errors.Wrapf(ErrTooLarge, "transaction has %d operations, limit is %d", n, MaxTxnOps)
	}
	for _, w := range t.Writes {
		if len(w.Value) > MaxValueSize {
			return errors.Wrapf(ErrTooLarge, "value of %s has %d bytes, limit is %d", w.Key, len(w.Value), MaxValueSize)
		}
	}
	return nil
}

// Item is an entry with its key and revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change.
	Revision int64
}

// Event is a change or a deletion of an entry.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a listing.
type Page struct {
	Items []Item
	// More reports that entries follow the last one.
	More bool
	// Revision is the revision of the store.
	Revision int64
}

// Store is the platform's key-value store. Implementations are safe for
// concurrent use.
type Store interface {
	// Range lists a page of the entries under a prefix whose keys are greater
	// than after. If stale is set, the listing may be seconds old; it costs a
	// tenth of a current one and does not count against the platform's rate
	// limit.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits until an entry under a prefix changes after a revision, or
	// until wait has passed. It returns all changes up to the revision after which
	// to continue. An answer may leave out later changes, of which it does not tell: the
	// platform's store ends after some hundreds.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit makes the changes of a transaction and returns its revision. If a
	// condition does not hold, the error is a *ConflictError.
	Commit(ctx context.Context, txn Txn) (revision int64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke removes a lease and its entries.
	Revoke(ctx context.Context, lease int64) error
}

// Put writes an entry under a lease, or under none if lease is 0.
func Put(ctx context.Context, s Store, key string, value []byte, lease int64) error {
	_, err := s.Commit(ctx, Txn{Writes: []Write{{key, value, lease}}})
	return err
}

// List reads all entries under a prefix, page by page. It returns the revision
// from which to watch for changes: the lowest of the pages, since they are not one
// snapshot, and stale ones may come from copies of different age.
func List(ctx context.Context, s Store, prefix string, stale bool) ([]Item, int64, error) {
	var items []Item
	revision, after := int64(math.MaxInt64), ""
	for {
		page, err := s.Range(ctx, prefix, after, stale)
		if err != nil {
			return nil, 0, err
		}
		revision = min(revision, page.Revision)
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
