package submission

import (
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// ID identifies a submission by its caller and idempotency key.
type ID struct{ Caller, Key string }

// Hash returns the hash that selects the submission's shard and ranks the members
// that may own it.
func (id ID) Hash() uint64 { return rendezvous.HashPair(id.Caller, id.Key) }

// String returns the ID as caller/key.
func (id ID) String() string { return id.Caller + "/" + id.Key }

// Outcome is the result of a submission: the results of all tasks, or a failure.
type Outcome struct {
	// Results holds one JSON value per task, in task order.
	Results [][]byte
	// Failure is nil if every task succeeded.
	Failure *verdict.Error
}

// size returns the payload size of the outcome in bytes.
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

// answerExpired replaces an answer that was evicted to free memory.
var answerExpired = &Outcome{Failure: verdict.Errorf(verdict.Ran, verdict.CodeExpired,
	"the submission completed and its answer is no longer kept")}
