package replay

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/platform"
	"golang.org/x/sync/errgroup"
)

// soakVM is an entry VM and its process.
type soakVM struct {
	name, dataCentre          string
	callerAddr, readinessAddr string
	balancerAddr              string // accepts callers; the process is not told when they close
	peerAddr                  string // advertised to other VMs; a relay listens on it
	listenAddr                string // on which the process accepts peers
	relays                    []*relay
	paths                     map[string]*upstreamPath // by upstream
	metricsPort               string
	settingsPath              string

	mu       sync.Mutex // guards the fields below; held while the process is replaced
	process  *process
	stopping *process // last process that was sent SIGTERM; holds its addresses until it exits
}

func (s *soakTest) addVM(ctx context.Context, g *errgroup.Group, i int) error {
	host := loopbackHost(i + 1)
	addresses, err := freeAddresses(7)
	if err != nil {
		return err
	}
	port := func(index int) string { _, p, _ := net.SplitHostPort(addresses[index]); return p }
	v := &soakVM{
		name: fmt.Sprintf("vm%d", i), dataCentre: soakDataCentres[i%len(soakDataCentres)],
		callerAddr: net.JoinHostPort(host, port(0)), readinessAddr: net.JoinHostPort(host, port(1)),
		balancerAddr: addresses[6], listenAddr: addresses[3], metricsPort: port(5), settingsPath: filepath.Join(s.dir, fmt.Sprintf("vm%d.toml", i)),
	}
	peerPort := 0
	if _, err := fmt.Sscan(port(2), &peerPort); err != nil {
		return err
	}
	v.peerAddr = net.JoinHostPort(host, port(2))
	if err := s.addPaths(v); err != nil {
		return err
	}
	storeListener, err := net.Listen("tcp", net.JoinHostPort(loopbackHost(sharedHost), "0"))
	if err != nil {
		return err
	}
	storeServer := standin.NewProcess(storeListener, platform.StoreHandler(ctx, vmStore{s.store, v}))
	g.Go(func() error { return storeServer.Run(ctx) })
	v.relays = []*relay{
		{name: v.name, address: v.peerAddr, target: v.listenAddr, links: s.links, identify: s.hellos.identify},
		{name: platformName, address: addresses[4], target: storeListener.Addr().String(), links: s.links, identify: identifyAs(v.name)},
		{name: v.name, address: v.balancerAddr, target: v.callerAddr, links: s.links, identify: identifyAs(soakCallers), hidesClose: true},
	}
	var file platform.Settings
	file.VM, file.Zone, file.IP, file.PeerPorts = v.name, v.dataCentre, host, []int{peerPort, peerPort + 1}
	file.Listen.Callers, file.Listen.Readiness = v.callerAddr, v.readinessAddr
	file.Limits.CPUShare, file.Limits.LinkMbps = 1, 1000
	file.Bounds.LeaseMaxMS, file.Bounds.GraceS, file.Bounds.CallerReturnMS = soakLease.Milliseconds(), soakGraceSeconds, soakRetryDelay.Milliseconds()
	file.Bounds.DrainMS = soakDrainTime.Milliseconds()
	file.Store.Address = addresses[4]
	text, err := file.Encode()
	if err != nil {
		return err
	}
	s.vms = append(s.vms, v)
	return os.WriteFile(v.settingsPath, text, 0o600)
}

// spawn starts the process of a VM unless it has one. It first waits for the previous
// process to exit and opens the relays.
func (s *soakTest) spawn(v *soakVM) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	if v.stopping != nil {
		<-v.stopping.exited
	}
	s.recordEvent("start %s", v.name)
	for _, r := range v.relays {
		if err := r.open(); err != nil {
			return err
		}
	}
	var err error
	v.process, err = startExecutable(s.options.Daemon, v.name, s.dir, []string{platform.SettingsEnv + "=" + v.settingsPath},
		"node", "-peer-listen", v.listenAddr, "-metrics-port", v.metricsPort, "-log-level", "info")
	return err
}
