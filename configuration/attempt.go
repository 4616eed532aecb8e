package configuration

// Attempt drives one change to its end over a service whose answers can be
// lost, late or old. Its owner carries out reads and writes and tells what
// came of them. It is not safe for concurrent use.
//
// A write is made on the condition that the head of the configuration is still
// at the position that the read showed. After a lost answer the attempt reads:
// where the head has moved, the history tells whether this change moved it;
// where it has not, the same write is repeated, of which at most one succeeds.
type Attempt struct {
	change *Change
	// full tells that the next read must include the history.
	full bool
	// repeated tells that an earlier attempt with the same identity may have
	// written.
	repeated bool
	// seen is the highest revision of the service in any of its answers.
	seen int64

	written  *Decision // the last write, nil where it did not take effect
	position int64     // the condition of the last write
}

// Read is what a read of the service showed.
type Read struct {
	Stored
	// StoreRevision is the revision of the service at the read.
	StoreRevision int64
	// HeadRevision is the revision of the service that last moved the head.
	HeadRevision int64
}

// NewAttempt returns an attempt at a change. repeated tells that the change
// may have been written before, by this or another process.
func NewAttempt(c *Change, repeated bool) *Attempt {
	return &Attempt{change: c, full: repeated, repeated: repeated}
}

// NeedsHistory tells whether the next read must include the whole state and history.
func (a *Attempt) NeedsHistory() bool { return a.full }

// MayHaveWritten tells whether a write may have taken effect without an answer.
func (a *Attempt) MayHaveWritten() bool { return a.written != nil || a.repeated }

// Decide returns the next step after a read: a Decision that is accepted, or
// one to write at the position of the read. The errors of Plan end the
// attempt, but for ErrStale: the read must be repeated.
func (a *Attempt) Decide(held *State, r Read) (Decision, error) {
	if r.StoreRevision < a.seen {
		return Decision{}, ErrStale
	}
	a.seen = r.StoreRevision
	if a.written != nil && r.HeadRevision == a.position {
		return *a.written, nil
	}
	if a.repeated && r.State.revision < held.revision {
		return Decision{}, ErrStale
	}
	decision, err := Plan(held, r.Stored, a.change)
	if err == ErrStale {
		a.full = true
		return decision, err
	}
	a.written, a.repeated = nil, false
	if err == nil && !decision.AlreadyApplied {
		a.position = r.HeadRevision
	}
	return decision, err
}

// AnswerLost notes that the answer to the write of a decision was lost.
func (a *Attempt) AnswerLost(d Decision) {
	a.written, a.full = &d, true
}

// ConditionFailed notes that the condition of a write did not hold, at a revision of
// the service. An earlier attempt may be what moved the head.
func (a *Attempt) ConditionFailed(serviceRevision int64) {
	a.seen = max(a.seen, serviceRevision)
	a.full = true
}
