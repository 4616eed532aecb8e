// Package platform reads and changes the platform's key-value service and
// reads its list of VMs. Store and Directory have two implementations: Memory,
// an in-memory fake, and Client, which speaks HTTP; both pass one conformance
// suite.
package platform

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
)

// MaxValue is the largest value of an entry, in bytes.
const MaxValue = 1 << 20

// Store is the key-value service. Implementations are safe for concurrent use.
// A failure is a *verdict.Error; for Txn its verdict tells whether the write
// may have taken effect.
type Store interface {
	// Range reads every entry under a prefix.
	Range(ctx context.Context, prefix string) (*api.RangeResponse, error)
	// Txn writes entries where every compared entry has the given revision.
	// Conditions that do not hold are no error.
	Txn(ctx context.Context, request *api.TxnRequest) (*api.TxnResponse, error)
	// Watch waits until an entry under the prefix changes after a store
	// revision, or until the wait is over; then the response has no events.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*api.WatchResponse, error)
}

// Directory is the platform's list of VMs. Implementations are safe for
// concurrent use.
type Directory interface {
	// VMs reads the VMs of a data centre and every entry VM, or all VMs where
	// dataCentre is empty. The list lags behind the truth. Where it still has
	// the tag of an earlier answer, the answer holds no entries.
	VMs(ctx context.Context, dataCentre, tag string) (*api.VMList, error)
}
