package replay

import (
	"context"
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

// process is a program started by a suite.
type process struct {
	name      string
	cmd       *exec.Cmd
	startedAt time.Time
	exited    chan struct{}
	err       error // the exit error; written before exited is closed
}

// startProcess runs a subcommand of this program, which holds the daemon and
// the stand-ins, with its log in a file.
func startProcess(name, logDir string, args ...string) (*process, error) {
	return startProcessEnv(name, logDir, nil, args...)
}

// startProcessEnv is startProcess with further variables of the environment.
func startProcessEnv(name, logDir string, env []string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(self, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	// A suite that is killed takes its processes with it.
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

// signal sends a signal; a process that has ended ignores it.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze stops every thread of the process until wake. Its sockets stay open.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// resume lets a frozen process go on.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop ends the process by SIGTERM and returns its exit error. A frozen process
// is woken; one that does not end within the stop timeout is killed.
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
		return errors.Newf("did not stop within %v", stopTimeout)
	}
}

// awaitHTTP waits until a path answers 200.
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
			return errors.Wrapf(ctx.Err(), "%s%s: not ready at the end of the run: status %d, %s, %v", address, path, status, body, err)
		}
		return errors.Newf("%s%s: not ready within %v: status %d, %s, %v", address, path, startTimeout, status, body, err)
	}
}

// awaitTCP waits until an address accepts connections.
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

// Ports of the processes lie below those that the system gives to outgoing
// connections, so that a process can come back at its address.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// ports gives each port once, so that addresses which are not listened at yet
// stay free.
var ports struct {
	mu   sync.Mutex // guards next; held while a port is tried
	next int        // 0 before the first one
}

// freeAddresses returns loopback addresses whose ports were free. Each address
// is returned once, until all ports have been.
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
		address := net.JoinHostPort("127.0.0.1", port)
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		// On all addresses: the soak's VMs, of other processes too, have one each.
		listener, err := net.Listen("tcp4", net.JoinHostPort("0.0.0.0", port))
		if err != nil {
			continue
		}
		listener.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.Newf("fewer than %d free ports", n)
}
