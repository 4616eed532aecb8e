// Package api holds the JSON messages that are exchanged with callers,
// upstreams and the platform. The types are generated from schema/messages.
package api

// HTTP headers of the callers' and upstreams' protocols.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCaller         = "Mustardstep-Caller"
	HeaderTimeoutMS      = "Mustardstep-Timeout-Ms"
	HeaderVerdict        = "Mustardstep-Verdict"
)

// States of a VM in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
	VMGone    = "gone"
)

// Roles of a VM in the platform's list.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)
