package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// retransmit is the time after which clients send a job again that got no answer.
const retransmit = 1300 * time.Millisecond

// job is a job of one step that a client hands in.
type job struct {
	id       string
	queue    string
	tasks    int
	work     time.Duration
	size     size
	estimate time.Duration
	deadline time.Duration
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client has received; status 0 means no answer.
type answer struct {
	status int
	body   string
	took   time.Duration
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d %s after %d ms", a.status, a.body, a.took.Milliseconds())
}

// request sends a request on a connection of its own.
func (s *system) request(method string, to *vm, j job, body any) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), j.deadline)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	if body == nil {
		encoded = nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+"/"+j.queue+"/"+j.id, bytes.NewReader(encoded))
	if err != nil {
		return answer{err: err}
	}
	r.Host = s.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(j.deadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{took: time.Since(began), err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{took: time.Since(began), err: err}
	}
	return answer{status: response.StatusCode, body: string(bytes.TrimSpace(text)), took: time.Since(began)}
}

// submit hands a job in at a VM.
func (s *system) submit(to *vm, j job) answer {
	s.log.add("client sends job %s to %s: %d tasks of %d ms, waits for %d ms", j.id, to.name, j.tasks, j.work.Milliseconds(), j.deadline.Milliseconds())
	a := s.request(http.MethodPost, to, j, map[string]any{
		"spec": fmt.Sprintf("work_ms=%d cpu=%d mem_mb=%d", j.work.Milliseconds(), j.size.CPU, j.size.Mem), protocolName("unstored"): true,
		"steps": []map[string]any{{"count": j.tasks, "cpu": j.size.CPU, "mem_mb": j.size.Mem, "estimate_ms": j.estimate.Milliseconds()}},
	})
	s.log.add("client of job %s at %s: %v", j.id, to.name, a)
	return a
}

// resubmits reports whether a client sends a job again after an answer.
func (a answer) resubmits() bool {
	return a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
}

// maxSends limits how often a client sends one job.
const maxSends = 3

// persist hands a job in until it is answered, each time at another VM.
func (s *system) persist(first int, j job) {
	for i := range maxSends {
		a := s.submit(s.vms[(first+i)%len(s.vms)], j)
		if !a.resubmits() {
			return
		}
		time.Sleep(retransmit)
	}
}

// load sends jobs at a rate until the end, in turn to all VMs, and waits for their answers.
func (s *system) load(end time.Time, interval time.Duration, next func() job) {
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		clients.Go(func() { s.persist(i, next()) })
	}
	clients.Wait()
}
