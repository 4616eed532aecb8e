package ownership

import (
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

// Join asks a member to add the sender to its ranking.
type Join struct{ From membership.Member }

// JoinReply answers a Join. Its facts cover every incarnation of the data centre
// that the sender ranks or has ranked, so that two members that join at the same
// time learn of each other.
type JoinReply struct {
	From     membership.Member
	Accepted bool
	Facts    []membership.Fact
}

// Transfer is one part of the state that the receiver needs to own submissions or
// hold records.
type Transfer struct {
	From membership.Member
	// To is the receiving incarnation.
	To membership.ID
	// Admitted is true if the sender has joined.
	Admitted bool
	Records  []submission.Record
	// Last marks the last part of a transfer, which alone carries the fields
	// below.
	Last bool
	// Departed are the incarnations that the sender no longer ranks. From now
	// on, the sender stores start records at the receiver for every submission
	// for which the receiver ranks second among the remaining members.
	Departed []membership.ID
	// Gaps describe the submissions whose history may be lost to the sender.
	Gaps []HistoryGap
}

// TransferReply answers a Transfer.
type TransferReply struct{ Accepted bool }

// Records asks a record holder to store start records.
type Records struct {
	From membership.Member
	// To is the receiving incarnation.
	To      membership.ID
	Records []submission.Record
}

// RecordsReply accepts either all records or none.
type RecordsReply struct{ Accepted bool }

// HistoryGap describes submissions that may have started and of which no record
// survives.
type HistoryGap struct {
	// All covers every submission. If it is false, the gap covers those for
	// which both departed incarnations rank ahead of the observer.
	All      bool
	Departed [2]membership.ID
	// Observer is the incarnation that recorded the gap.
	Observer membership.ID
	// Until is the time at which the retention period ends.
	Until time.Time
}
