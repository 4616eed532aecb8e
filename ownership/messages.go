package ownership

import (
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

// Join asks a member to count the sender in its rankings.
type Join struct{ From membership.Member }

// JoinReply answers a Join. The facts cover every incarnation of the data
// centre that the sender counts, so that two that join at once learn of each
// other.
type JoinReply struct {
	From     membership.Member
	Accepted bool
	Facts    []membership.Fact
}

// Transfer hands over what the receiver must know to follow the sender in rank.
type Transfer struct {
	From membership.Member
	// To is the incarnation that is meant.
	To membership.ID
	// Admitted tells that the sender has joined.
	Admitted bool
	Records  []submission.Record
	// Last marks the last part of a fill; only it carries the fields below.
	Last bool
	// Departed are the incarnations that the sender no longer ranks. From now
	// on it records at the receiver every submission for which the receiver
	// is next without them.
	Departed []membership.ID
	// Gaps are the submissions whose history the sender lacks.
	Gaps []Gap
}

// TransferReply answers a Fill.
type TransferReply struct{ Accepted bool }

// Records stores start records at their holder.
type Records struct {
	From membership.Member
	// To is the incarnation that is meant.
	To      membership.ID
	Records []submission.Record
}

// RecordsReply acknowledges every record, or none.
type RecordsReply struct{ Accepted bool }

// Gap describes submissions that may have been started without a record
// that has survived.
type Gap struct {
	// All covers every submission. Otherwise those are meant for which both
	// dead incarnations rank ahead of the observer.
	All      bool
	Departed [2]membership.ID
	Observer membership.ID
	// Until is the end of the retention.
	Until time.Time
}
