// Package api defines the JSON messages exchanged with callers, operators, upstreams
// and the platform. The types are generated from schema/messages.
package api

// HTTP headers of requests and responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCaller         = "Mustardstep-Caller"
	HeaderTimeoutMS      = "Mustardstep-Timeout-Ms"
	HeaderVerdict        = "Mustardstep-Verdict"
)

// States of a VM in its registration entry.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
	VMGone    = "gone"
)

// Roles of a VM in its registration entry.
const (
	RoleEntry    = "entry"    // runs mustardstepd
	RoleUpstream = "upstream" // runs tasks
)
