// Package routing finds the queue that a request is meant for.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Queue is a queue of jobs.
type Queue struct {
	Name         string
	Host, Prefix string
	// Service names the upstreams that run its tasks.
	Service string
	// Priority is its class; 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs after which a task has failed.
	MaxAttempts int
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// An answer is in time within Stretch times the longest run time of a task
	// and Slack more.
	Stretch float64
	Slack   time.Duration
}

// Table holds the queues of one configuration. It is immutable.
type Table struct {
	// Version is the operators' number of the configuration, Revision that of
	// its change in the store.
	Version, Revision int64
	// MaxBody is the largest body of a request, in bytes; 0 sets no limit.
	MaxBody int

	hosts map[string][]*Queue // the longest prefix first
	count int
}

// NewTable returns a table of queues.
func NewTable(version, revision int64, maxBody int, queues []Queue) *Table {
	t := &Table{Version: version, Revision: revision, MaxBody: maxBody, hosts: map[string][]*Queue{}, count: len(queues)}
	for i := range queues {
		q := &queues[i]
		host := strings.ToLower(q.Host)
		t.hosts[host] = append(t.hosts[host], q)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Len returns the number of queues.
func (t *Table) Len() int { return t.count }

// Find returns the queue with the longest prefix of a path on a host, and the
// rest of the path; nil where there is none.
func (t *Table) Find(host, path string) (queue *Queue, rest string) {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 && t.hosts[host] == nil {
		host = host[:at]
	}
	for _, q := range t.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest
		}
	}
	return nil, ""
}
