// Package catalog parses the operators' services file, which describes the calls of
// each service, their parameters and how a call expands into tasks.
//
// A Catalog is immutable and safe for concurrent use. Parse reports all problems of
// a file at once, each with its line and column.
package catalog

import (
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Priority is the priority class of a call. Tasks of a higher class run first.
type Priority uint8

// Priorities in ascending order.
const (
	Batch Priority = iota
	Normal
	Urgent
)

var priorityNames = []string{Batch: "batch", Normal: "normal", Urgent: "urgent"}

// String returns the priority's name in the services file.
func (p Priority) String() string { return priorityNames[p] }

// Catalog holds the services of a services file.
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
	// Idempotent is true if a request may omit the idempotency key.
	Idempotent bool
	Priority   Priority
	// Deadline is both the default and the maximum duration of a job.
	Deadline time.Duration
	// Retries is the maximum number of retries of a task that upstreams
	// rejected.
	Retries int
	// ForEach names the array parameter whose elements become the tasks. If it
	// is empty, the call has Count tasks.
	ForEach string
	Count   int
	// DeclaredDuration is the expected duration of a task on the fastest upstream.
	DeclaredDuration time.Duration
	Size             Size

	parameters *jsonschema.Schema
}

// Size holds the resources that a task requires.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	// MemoryMB is in megabytes.
	MemoryMB     int64
	Accelerators int64
}

// Lookup returns a call of a service, or nil if either is unknown.
func (c *Catalog) Lookup(service, call string) *Call {
	s := c.services[service]
	if s == nil {
		return nil
	}
	return s.Calls[call]
}

// Services returns the services by name. The caller must not modify the map.
func (c *Catalog) Services() map[string]*Service { return c.services }

// Empty returns a catalog without services.
func Empty() *Catalog { return &Catalog{services: map[string]*Service{}} }
