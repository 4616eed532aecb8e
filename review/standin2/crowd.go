package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. The crowd stays below the number of connections that a process accepts, and
// below half of its descriptors. No page limits the number of tasks of a step; the process accepts
// up to 4,096.
const (
	crowdConns    = 1800 // to each machine
	crowdTasks    = 4096 // of each job
	crowdPatience = 10 * time.Second
	crowdPause    = 100 * time.Millisecond
	crowdFor      = 48 * time.Second
	restartDelay  = time.Second
	memoryMB      = 284
	fatalExits    = 3 // of a process in the run, on two machines at least
)

// playCrowd lets clients send small requests, each a job of many tasks, to three machines, on many
// connections at once. Each client sends one job, waits for its answer and sends the next one.
func playCrowd(w *world) error {
	ips := freeIPs(3)
	for i, zone := range []string{"casa", "rabat", "fes"} {
		w.addDaemon(machine{name: "front-" + zone + "-1", zone: zone, ip: ips[i], memoryMB: memoryMB})
	}
	for i := range 4 {
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), zone: []string{"casa", "rabat"}[i%2], store: w.store, world: w}
		u.start(kind{16000, 32768, []string{"a", fmt.Sprintf("r%d-1", i%2+1)}})
	}
	w.writeConfiguration(1, "/swap/")
	time.Sleep(time.Second)
	if err := w.startDaemons(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(crowdFor)
	var running sync.WaitGroup
	supervisors := make([]*supervisor, len(w.daemons))
	for i, d := range w.daemons {
		supervisors[i] = &supervisor{daemon: d}
		running.Add(1)
		go func() {
			defer running.Done()
			supervisors[i].run(w, end)
		}()
	}
	if w.trouble {
		for _, d := range w.daemons {
			for range crowdConns {
				running.Add(1)
				go func() {
					defer running.Done()
					w.crowdClient(d, end)
				}()
			}
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		d := w.daemons[i%len(w.daemons)]
		status := w.submit(d, callerHost, "/swap/", job{cpu: 1000, memory: 64, count: 2, takes: 60 * time.Millisecond}, 1500*time.Millisecond)
		w.count(fmt.Sprintf("ordinary job: %d", status))
		time.Sleep(time.Second)
	}
	running.Wait()
	machines := 0
	for _, s := range supervisors {
		w.note("%s: %d ends by itself or over its memory, greatest memory %d MB", s.daemon.name, s.exits, s.peak)
		if s.exits >= fatalExits {
			machines++
		}
	}
	if machines >= 2 {
		w.noteBroken("Fault", "the processes of %d machines ended by themselves %d times or more", machines, fatalExits)
	}
	return nil
}

// supervisor does what the platform does: it kills a process that exceeds its memory, and starts one
// that has ended again.
type supervisor struct {
	daemon *daemon
	exits  int // without the kill of the disruption
	peak   int // memory in MB
}

func (s *supervisor) run(w *world, end time.Time) {
	d := s.daemon
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		used := d.memory()
		s.peak = max(s.peak, used)
		switch {
		case d.hasExited():
			w.note("%s has ended by itself", d.name)
			s.exits++
		case used > d.memoryMB:
			w.note("%s uses %d MB of %d and is killed", d.name, used, d.memoryMB)
			s.exits++
			d.kill()
		default:
			continue
		}
		time.Sleep(restartDelay)
		if err := d.start(w); err != nil {
			w.note("%s does not start: %v", d.name, err)
		}
	}
}

// memory returns the resident memory of the process in MB.
func (d *daemon) memory() int {
	process, _, _ := d.current()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// crowdClient sends one job after the other on a connection.
func (w *world) crowdClient(d *daemon, end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", d.front, time.Second)
		if err != nil {
			w.count("crowd: no connection")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for reader := bufio.NewReader(conn); time.Now().Before(end); time.Sleep(crowdPause) {
			status, err := w.crowdRequest(conn, reader)
			if err != nil {
				w.count("crowd: no answer")
				break
			}
			w.count(fmt.Sprintf("crowd: %d", status))
		}
		conn.Close()
	}
}

// crowdRequest sends a job and returns the status of its answer.
func (w *world) crowdRequest(conn net.Conn, reader *bufio.Reader) (status int, err error) {
	j := job{cpu: 1000, memory: 64, count: crowdTasks, takes: 900 * time.Millisecond}
	body := j.body()
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /swap/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		w.newJob(j), callerHost, crowdPatience.Milliseconds(), len(body), body)
	if _, err := conn.Write(request.Bytes()); err != nil {
		return 0, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(crowdPatience)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
