package submission

import (
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// ID names a submission: the caller and its idempotency key.
type ID struct{ Caller, Key string }

// Hash places the submission in a shard and ranks its owners.
func (id ID) Hash() uint64 { return rendezvous.HashPair(id.Caller, id.Key) }

// String returns caller/key.
func (id ID) String() string { return id.Caller + "/" + id.Key }

// Outcome is the end of a submission: every result, or a failure.
type Outcome struct {
	// Results holds one JSON value per task, in task order.
	Results [][]byte
	// Failure is nil where the submission completed.
	Failure *verdict.Error
}

// size returns the bytes that the outcome holds.
func (o *Outcome) size() int {
	n := 0
	for _, result := range o.Results {
		n += len(result)
	}
	if o.Failure != nil {
		n += len(o.Failure.Reason)
	}
	return n
}

// answerExpired replaces an answer that is no longer kept.
var answerExpired = &Outcome{Failure: verdict.Errorf(verdict.Ran, verdict.CodeExpired,
	"the submission completed and its answer is no longer kept")}
