package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// process is a child process of a test suite.
type process struct {
	name      string
	cmd       *exec.Cmd
	startedAt time.Time
	exited    chan struct{}
	err       error // the exit error; written before exited is closed
}

// startProcess starts a subcommand of the running executable, which contains the
// daemon and the stand-ins. Output is appended to a log file in logDir.
func startProcess(name, logDir string, args ...string) (*process, error) {
	return startExecutable("", name, logDir, nil, args...)
}

// startExecutable is startProcess for another executable, unless it is empty, and with
// additional environment variables.
func startExecutable(executable, name, logDir string, env []string, args ...string) (*process, error) {
	if executable == "" {
		var err error
		if executable, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	log, err := os.OpenFile(filepath.Join(logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(executable, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	// The kernel kills the child if the suite dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &process{name: name, cmd: cmd, startedAt: time.Now(), exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		p.err = cmd.Wait()
	}()
	return p, nil
}

// signal sends a signal. It does nothing if the process has exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze suspends the process until resume. Its sockets stay open.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// resume lets a frozen process continue.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop sends SIGTERM, resumes the process if it is frozen, and returns its exit
// error. A process that does not exit within stopTimeout is killed.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	p.resume()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return p.err
	case <-timer.C:
		p.kill()
		return errors.Newf("process did not exit within %v after SIGTERM", stopTimeout)
	}
}

// awaitHTTP polls a path until it answers with status 200.
func awaitHTTP(ctx context.Context, address, path string) error {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		select {
		case <-ticker.C:
			continue
		case <-limited.Done():
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "%s%s: context done before it was ready: status %d, body %s, error %v", address, path, status, body, err)
		}
		return errors.Newf("%s%s: not ready within %v: status %d, body %s, error %v", address, path, startTimeout, status, body, err)
	}
}

// awaitTCP polls an address until it accepts connections.
func awaitTCP(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%s: not listening within %v", address, startTimeout)
		}
	}
}

// Range of the ports for processes. It lies below the ephemeral ports, which the
// kernel may give to outgoing connections while a process restarts.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// ports hands out the ports in turn, so that a port is not reused before its
// process listens on it.
var ports struct {
	mu   sync.Mutex // guards next; held while a port is tested
	next int        // 0 before the first call
}

// sharedHost is the last byte of the loopback address for all that has no own one.
const sharedHost = 250

// loopbackHost returns the loopback address of this process with the given last byte. Listeners are
// closed and opened again, and no other process must take their ports meanwhile.
func loopbackHost(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid&0xff, last)
}

// freeAddresses returns n loopback addresses with free ports. An address is returned
// again only after all other ports of the range were tried.
func freeAddresses(n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + rand.IntN(lastPort-firstPort)
	}
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == n {
			return addresses, nil
		}
		port := strconv.Itoa(ports.next)
		address := net.JoinHostPort(loopbackHost(sharedHost), port)
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		// Test the port on all addresses: each VM of a soak test has its own loopback
		// address.
		listener, err := net.Listen("tcp4", net.JoinHostPort("0.0.0.0", port))
		if err != nil {
			continue
		}
		listener.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.Newf("fewer than %d ports are free", n)
}
