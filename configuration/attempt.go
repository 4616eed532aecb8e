package configuration

// Attempt drives one change to completion over a store whose answers can be
// lost, late or stale. The caller performs the reads and writes and reports
// their results. It is not safe for concurrent use.
//
// A write is conditional: it succeeds only if the head of the configuration has
// not changed since the read. After a lost answer the attempt reads again. If
// the head has changed, the history shows whether this change was written. If
// the head is unchanged, the same write is repeated; at most one of the
// repetitions succeeds.
type Attempt struct {
	change *Change
	// needsHistory is true if the next read must include the history.
	needsHistory bool
	// repeated is true if an earlier attempt with the same change ID may have
	// written.
	repeated bool
	// minRevision is the highest store revision seen; reads below it are stale.
	minRevision int64

	unanswered *Decision // the write whose answer was lost; nil if there is none
	condition  int64     // head revision on which the last write was conditional
}

// Read is the result of reading the store.
type Read struct {
	Stored
	// StoreRevision is the store's revision at the time of the read.
	StoreRevision int64
	// HeadRevision is the store revision that last changed the head.
	HeadRevision int64
}

// NewAttempt returns an attempt at a change. repeated must be true if this or
// another process may have written the change before.
func NewAttempt(c *Change, repeated bool) *Attempt {
	return &Attempt{change: c, needsHistory: repeated, repeated: repeated}
}

// NeedsHistory reports whether the next read must include the whole state and
// the history.
func (a *Attempt) NeedsHistory() bool { return a.needsHistory }

// MayHaveWritten reports whether a write may have taken effect without an
// answer.
func (a *Attempt) MayHaveWritten() bool { return a.unanswered != nil || a.repeated }

// Decide returns the next step after a read: either a Decision that is already
// applied, or one to write on the condition that the head is unchanged since
// the read. After ErrStale the read must be repeated; any other error of Plan
// ends the attempt.
func (a *Attempt) Decide(local *State, r Read) (Decision, error) {
	if r.StoreRevision < a.minRevision {
		return Decision{}, ErrStale
	}
	a.minRevision = r.StoreRevision
	if a.unanswered != nil && r.HeadRevision == a.condition {
		return *a.unanswered, nil
	}
	// A read older than the local state may lack the earlier attempt's write.
	if a.repeated && r.State.revision < local.revision {
		return Decision{}, ErrStale
	}
	decision, err := Plan(local, r.Stored, a.change)
	if err == ErrStale {
		a.needsHistory = true
		return decision, err
	}
	a.unanswered, a.repeated = nil, false
	if err == nil && !decision.AlreadyApplied {
		a.condition = r.HeadRevision
	}
	return decision, err
}

// AnswerLost records that the answer to the write of a decision was lost.
func (a *Attempt) AnswerLost(d Decision) {
	a.unanswered, a.needsHistory = &d, true
}

// ConditionFailed records that the condition of a write failed at a store
// revision. The history must be read, since an earlier attempt at the same
// change may have changed the head.
func (a *Attempt) ConditionFailed(storeRevision int64) {
	a.minRevision = max(a.minRevision, storeRevision)
	a.needsHistory = true
}
