package replay

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
	name string
	cmd  *exec.Cmd
	done chan error
}

// startProcess runs a subcommand of this program, which holds the daemon and
// the stand-ins, with its log in a file.
func startProcess(name, logDir string, args ...string) (*process, error) {
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
	// A suite that is killed takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	return p, nil
}

// signal sends a signal; a process that has ended ignores it.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop ends the process by SIGTERM and returns its exit error.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		return err
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Newf("%s did not stop within %v", p.name, stopTimeout)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitHTTP waits until a path answers 200.
func awaitHTTP(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+address+path, time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%s%s: not ready within %v", address, path, startTimeout)
		}
	}
}

// freeAddresses returns loopback addresses whose ports were free.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}
