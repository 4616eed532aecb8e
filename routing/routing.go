// Package routing maps a request's host and path to a queue.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Queue configures a queue of jobs.
type Queue struct {
	Name         string
	Host, Prefix string
	// Service names the upstreams that run the tasks.
	Service string
	// Priority is the priority class; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs after which a task fails.
	MaxAttempts int
	// Timeout bounds the time from a request to its answer.
	Timeout time.Duration
	// Stretch and Slack set the target response time: Stretch times the longest
	// run time of a task, plus Slack.
	Stretch float64
	Slack   time.Duration
}

// Table holds the queues of one configuration. It is immutable.
type Table struct {
	// Version is the version number that operators gave the configuration,
	// Revision its revision in the store.
	Version, Revision int64
	// MaxBody bounds the body of a request, in bytes; 0 sets no limit.
	MaxBody int

	hosts map[string][]*Queue // by lower-case host, longest prefix first
	count int
}

// NewTable returns a table of the given queues.
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

// Find returns the queue of a host whose prefix is the longest that matches a
// path, and the path after that prefix. The queue is nil if none matches. A port
// in the host is ignored unless a queue names it.
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
