package submission

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/mustardstep/mustardstep/catalog"
)

// Request is a call of a service, independent of the front end that received it.
type Request struct {
	ID ID
	// FreshKey is true if the key was generated for this request, so that no
	// earlier attempt can have used it.
	FreshKey bool
	// Service and Call name the called service and its call.
	Service, Call string
	// Parameters is the JSON value passed to the call.
	Parameters []byte
	// Expansion holds the tasks if the front end has already expanded the
	// parameters; otherwise it is nil.
	Expansion *catalog.Expansion
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
}

// Digest returns a hash of the service, call and parameters. It detects a key that
// is reused for a different request.
func (r *Request) Digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, "\x00", r.Call, "\x00"} {
		d.WriteString(part)
	}
	d.Write(r.Parameters)
	return d.Sum64()
}

// Answer is an outcome and the VM that answered.
type Answer struct {
	Outcome Outcome
	Owner   string
	// Reroute is true if the members disagree on the owner, so that the call must
	// be routed again.
	Reroute bool
	// Unstarted is true if the recorded starter has not started the submission
	// and never will.
	Unstarted bool
}
