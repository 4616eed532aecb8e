package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and finds broken rules.
type record struct {
	began time.Time

	mu     sync.Mutex // guards the fields below
	lines  []string
	broken []string
	// running holds the active runs by task, each with its server.
	running map[string]map[string]runKey
	// cancelled holds when the cancelling of a job was acknowledged.
	cancelled map[string]time.Time
	// rejected tells of each answered job whether all its sends were rejected.
	rejected map[string]bool
	started  map[string]bool // by job
	starts   int
}

func newRecord() *record {
	return &record{began: time.Now(), running: map[string]map[string]runKey{}, cancelled: map[string]time.Time{}, rejected: map[string]bool{}, started: map[string]bool{}}
}

// write adds a line. The caller holds mu.
func (r *record) write(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, values...))
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, values...)
}

// breach records a broken rule.
func (r *record) breach(rule, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breachLocked(rule, format, values...)
}

func (r *record) breachLocked(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	r.write("BROKEN %s", text)
	r.broken = append(r.broken, text)
}

// start records a start, and that a task already runs elsewhere or that the server is
// over its capacity.
func (r *record) start(on *runner, run runKey, o order, used size) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.started[jobOf(run.task)] = true
	r.write("start on %s: %s, token %d, %d of %d thousandths of a core in use", on.id, run, o.Token, used.CPU, on.capacity.CPU)
	if used.CPU > on.capacity.CPU || used.Mem > on.capacity.Mem {
		r.breachLocked("LIMIT", "server %s has %d thousandths of a core, the start of %s brings it to %d", on.id, on.capacity.CPU, run, used.CPU)
	}
	if at, found := r.cancelled[jobOf(run.task)]; found && time.Since(at) > cancelBound {
		r.breachLocked("UNASKED", "%s starts %d ms after the cancelling of its job was acknowledged", run, time.Since(at).Milliseconds())
	}
	for other, active := range r.running[run.task] {
		r.breachLocked("TWICE", "%s starts on %s while %s is at work on %s", run, on.id, active, other)
	}
	if r.running[run.task] == nil {
		r.running[run.task] = map[string]runKey{}
	}
	r.running[run.task][on.id] = run
}

func (r *record) end(server string, run runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end on %s: %s, %s", server, run, how)
	if r.running[run.task][server] == run {
		delete(r.running[run.task], server)
	}
}

// save writes the record to a file.
func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text []byte
	for _, line := range r.lines {
		text = append(append(text, line...), '\n')
	}
	return os.WriteFile(path, text, 0o644)
}
