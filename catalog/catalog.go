// Package catalog holds the operators' description of services: their calls,
// the parameters of each, and how a call becomes tasks.
//
// A Catalog is immutable and safe for concurrent use. Parse reports every
// problem of a file at once, each with its line and column.
package catalog

import (
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Priority is the class of a call. Tasks of a higher class go first.
type Priority uint8

// Priorities from lowest to highest.
const (
	Batch Priority = iota
	Normal
	Urgent
)

var priorityNames = []string{Batch: "batch", Normal: "normal", Urgent: "urgent"}

// String returns the name used in the services file.
func (p Priority) String() string { return priorityNames[p] }

// Catalog is the content of a services file.
type Catalog struct {
	services map[string]*Service
}

// Service is a named set of calls that run on the same upstreams.
type Service struct {
	Name  string
	Calls map[string]*Call
}

// Call describes one call of a service.
type Call struct {
	Service, Name string
	// Idempotent tells whether a call may come without an idempotency key.
	Idempotent bool
	Priority   Priority
	// Deadline is the default time a job may take and the longest that a
	// caller may ask for.
	Deadline time.Duration
	// Retries is the number of times a task is offered again after an
	// upstream refused it.
	Retries int
	// ForEach names the array parameter of which each element becomes a task.
	// Empty makes Count tasks.
	ForEach string
	Count   int
	// DeclaredDuration is the expected run time of a task on the fastest upstream.
	DeclaredDuration time.Duration
	Size             Size

	parameters *jsonschema.Schema
}

// Size is the demand of a task or the capacity of an upstream.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	// MemoryMB is in megabytes.
	MemoryMB     int64
	Accelerators int64
}

// Lookup returns the call of a service, or nil where either is unknown.
func (c *Catalog) Lookup(service, call string) *Call {
	s := c.services[service]
	if s == nil {
		return nil
	}
	return s.Calls[call]
}

// Services returns the services by name. The map must not be changed.
func (c *Catalog) Services() map[string]*Service { return c.services }

// Empty returns a catalog without services.
func Empty() *Catalog { return &Catalog{services: map[string]*Service{}} }
