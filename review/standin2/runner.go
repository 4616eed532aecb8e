package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is the equipment of one life of an upstream.
type kind struct {
	cpu, memory int
	labels      []string
}

// upstream is a stand-in of one of the platform's upstreams ("runners"). It starts whatever it is
// told to start, as a service with rejects_overload = false.
type upstream struct {
	id, address, zone string
	store             *store
	world             *world

	mu   sync.Mutex // guards the fields below
	life *life      // nil while it is down
	cut  bool       // it has no path to the store
}

// life is one incarnation of an upstream.
type life struct {
	u        *upstream
	kind     kind
	born     time.Time
	server   *http.Server
	beat     chan struct{} // closed at its end
	sequence int

	mu       sync.Mutex // guards the fields below
	fence    int64
	deadline int64 // end of the lease on its clock, in ms
	running  map[string]*active
	ended    []end
	lastEnd  int64
	highest  map[string]int // highest attempt that has ended or was stopped, by task
	changed  chan struct{}
	over     bool
}

type active struct {
	attempt int
	cpu     int
	begun   time.Time
	takes   time.Duration
}

type end struct {
	number  int64
	task    string
	attempt int
	how     string
}

// holdMax is the longest lease, stopTime what a stop takes, beatEvery the time between two
// reports to the store.
const (
	holdMax   = time.Second
	stopTime  = 10 * time.Millisecond
	beatEvery = 1500 * time.Millisecond
)

// start begins a life with the given equipment. Its first report to the store follows at once.
func (u *upstream) start(k kind) {
	l := &life{u: u, kind: k, born: time.Now(), beat: make(chan struct{}), running: map[string]*active{}, highest: map[string]int{}, changed: make(chan struct{})}
	var listener net.Listener
	if u.address == "" {
		listener = listen("127.0.0.1:0")
		u.address = listener.Addr().String()
	} else {
		listener = listen(u.address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(name("start"), l.handleStart)
	mux.HandleFunc(name("stop"), l.handleStop)
	mux.HandleFunc(name("poll"), l.handleHold)
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(listener) }()
	u.mu.Lock()
	u.life = l
	u.mu.Unlock()
	go l.reportLoop()
	go l.leaseLoop()
	u.world.note("upstream %s starts: born %d, capacity %d, labels %v", u.id, l.born.UnixMilli(), k.cpu, k.labels)
}

// crash ends the life at once. Everything that runs ends, and its connections break.
func (u *upstream) crash() {
	u.mu.Lock()
	l := u.life
	u.life = nil
	u.mu.Unlock()
	l.mu.Lock()
	l.over = true
	for task := range l.running {
		u.world.noteEnd(task, u.id, l.running[task].attempt, "crashed")
	}
	l.running = map[string]*active{}
	close(l.beat)
	l.mu.Unlock()
	_ = l.server.Close()
	u.world.note("upstream %s crashes", u.id)
}

// setCut sets whether the upstream has no path to the store.
func (u *upstream) setCut(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut = on
}

func (u *upstream) isCut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cut
}

// reportLoop writes the entry of the upstream.
func (l *life) reportLoop() {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		l.report()
		select {
		case <-l.beat:
			return
		case <-ticker.C:
		}
	}
}

func (l *life) report() {
	if l.u.isCut() {
		return
	}
	l.sequence++
	l.u.store.write(name("upstreams")+l.u.id, map[string]any{
		"service": "rota-desk", "address": l.u.address, "zone": l.u.zone, "version": "v1", "slots": 8, "state": "ready", name("cold"): 0,
		"capacity": map[string]int{"cpu": l.kind.cpu, "mem_mb": l.kind.memory, "gpu": 0}, "labels": l.kind.labels,
		"clock_ms": l.clock(), "born": l.born.UnixMilli(), "seq": l.sequence,
	})
}

// clock returns the time on the upstream's clock, in ms.
func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

// leaseLoop ends runs that are done, and all when the lease has expired.
func (l *life) leaseLoop() {
	for range time.Tick(2 * time.Millisecond) {
		l.mu.Lock()
		if l.over {
			l.mu.Unlock()
			return
		}
		lapsed := l.clock() > l.deadline
		for task, a := range l.running {
			switch {
			case time.Since(a.begun) >= a.takes:
				l.finish(task, "done")
			case lapsed:
				l.finish(task, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// finish ends a run. The caller holds mu.
func (l *life) finish(task, how string) {
	a := l.running[task]
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], a.attempt)
	l.lastEnd++
	l.ended = append(l.ended, end{l.lastEnd, task, a.attempt, how})
	close(l.changed)
	l.changed = make(chan struct{})
	l.u.world.noteEnd(task, l.u.id, a.attempt, how)
}

// renew prolongs the lease. The caller holds mu.
func (l *life) renew(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+holdMax.Milliseconds()))
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"-"` // decoded by its name in names.txt
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// admit decodes an order and checks its recipient and its fencing token. ok is false if the order
// was refused. Otherwise mu is held.
func (l *life) admit(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if expected := r.Header.Get(name("instance")); expected != "" && expected != l.u.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": l.clock()})
		return o, false
	}
	decode(r, &o, "token", &o.Token)
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < l.fence {
		l.mu.Unlock()
		l.refuse(w, "fence")
		return o, false
	}
	l.fence = o.Token
	return o, true
}

func (l *life) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason})
}

func (l *life) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := l.admit(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	if o.Deadline < l.clock() {
		l.refuse(w, "late")
		return
	}
	l.renew(o.Deadline)
	if a := l.running[o.Task]; a != nil && a.attempt == o.Attempt {
		answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
		return
	}
	if o.Attempt <= l.highest[o.Task] || l.running[o.Task] != nil {
		l.refuse(w, "old")
		return
	}
	job := l.u.world.jobOf(o.Task)
	a := &active{attempt: o.Attempt, cpu: job.cpu, begun: time.Now(), takes: job.takes}
	used := a.cpu
	for _, other := range l.running {
		used += other.cpu
	}
	l.running[o.Task] = a
	l.u.world.noteStart(l, o, used)
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (l *life) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := l.admit(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	l.highest[o.Task] = max(l.highest[o.Task], o.Attempt)
	if a := l.running[o.Task]; a != nil && a.attempt <= o.Attempt {
		time.AfterFunc(stopTime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.running[o.Task] == a {
				l.finish(o.Task, "stopped")
			}
		})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (l *life) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := l.admit(w, r)
	if !ok {
		return
	}
	l.renew(o.Deadline)
	for len(l.ended) > 0 && l.ended[0].number <= o.LastSeen {
		l.ended = l.ended[1:]
	}
	timeout := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(l.ended) == 0; {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-l.beat:
		case <-timeout:
			waiting = false
		}
		l.mu.Lock()
		if l.over {
			l.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	defer l.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, a := range l.running {
		running = append(running, []any{task, a.attempt, "", min(99, int(100*time.Since(a.begun)/a.takes)), a.cpu})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "finished": finished})
}

// jobOfTask returns the job ID in the name of a task.
func jobOfTask(task string) string { return strings.SplitN(task, ".", 2)[0] }

func listen(address string) net.Listener {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(fmt.Sprintf("listen on %s: %v", address, err))
}
