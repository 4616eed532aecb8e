package submission

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/mustardstep/mustardstep/catalog"
)

// Request is a call of a service, whatever front end it came through.
type Request struct {
	ID ID
	// FreshKey tells that the key was made for this request, so that no
	// earlier attempt can have used it.
	FreshKey bool
	// Service and Call name what is called.
	Service, Call string
	// Parameters is the JSON value handed to the call.
	Parameters []byte
	// Expansion holds the tasks into which a front end has expanded the
	// parameters; nil where it has not.
	Expansion *catalog.Expansion
	// Deadline is the time by which the caller wants the answer.
	Deadline time.Time
}

// Digest returns a hash of what the request asks for, which tells whether two
// requests under one key are the same.
func (r *Request) Digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, "\x00", r.Call, "\x00"} {
		d.WriteString(part)
	}
	d.Write(r.Parameters)
	return d.Sum64()
}

// Answer is an outcome and the VM that gave it.
type Answer struct {
	Outcome Outcome
	Owner   string
	// Reroute tells that the members disagree on the owner.
	Reroute bool
	// Unstarted tells that the recorded starter did not start the submission.
	Unstarted bool
}
