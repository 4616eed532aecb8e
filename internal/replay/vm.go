package replay

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
)

// vm is an entry VM of the cluster and its daemon.
type vm struct {
	name, dataCentre string
	httpAddr         string // for callers
	peerListenAddr   string // on which the daemon accepts peers
	peerAddr         string // advertised to peers
	platformAddr     string // address at which this VM reaches the platform
	relays           []*relay
	process          *process // nil unless the daemon is running
}

// platformName is the name of the platform in links.
const platformName = "platform"

// addVM adds a VM without starting its daemon.
func (c *cluster) addVM(dataCentre string) (*vm, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	v := &vm{
		name: fmt.Sprintf("vm%d", len(c.vms)), dataCentre: dataCentre,
		httpAddr: addresses[0], peerListenAddr: addresses[1], peerAddr: addresses[1], platformAddr: c.platformAddr,
	}
	if c.layout.Relays {
		v.peerAddr, v.platformAddr = addresses[2], addresses[3]
		v.relays = []*relay{
			{name: v.name, address: v.peerAddr, target: v.peerListenAddr, links: c.links, identify: c.hellos.identify},
			{name: platformName, address: v.platformAddr, target: c.platformAddr, links: c.links, identify: identifyAs(v.name)},
		}
	}
	c.vms = append(c.vms, v)
	return v, nil
}

// startVM starts the daemon of a VM, waits until it listens for peers, and registers
// the VM.
func (c *cluster) startVM(ctx context.Context, v *vm) error {
	if err := c.spawn(v); err != nil {
		return err
	}
	return c.register(ctx, v)
}

// spawn starts the daemon of a VM on the VM's addresses. It opens the relays first
// because a closed relay would refuse connections to a daemon that already listens.
func (c *cluster) spawn(v *vm) error {
	if err := v.openRelays(); err != nil {
		return err
	}
	args := []string{
		"daemon", "-vm", v.name, "-data-centre", v.dataCentre, "-http-listen", v.httpAddr,
		"-peer-listen", v.peerListenAddr, "-peer-advertise", v.peerAddr, "-seeds", strings.Join(c.seeds(), ","),
		"-platform", v.platformAddr, "-schema-file", c.servicesPath,
	}
	if err := c.startProcess(v.name, append(args, c.layout.DaemonArgs...)...); err != nil {
		return err
	}
	v.process = c.processes[len(c.processes)-1]
	return nil
}

// register waits until the daemon of a VM listens for peers, then lists the VM as live
// on the platform.
func (c *cluster) register(ctx context.Context, v *vm) error {
	if err := awaitTCP(ctx, v.peerListenAddr); err != nil {
		return err
	}
	return c.setListedState(v, api.VMLive)
}

func (c *cluster) seeds() []string {
	seeds := make([]string, len(c.vms))
	for i, v := range c.vms {
		seeds[i] = fmt.Sprintf("%s=%s/%s", v.name, v.dataCentre, v.peerAddr)
	}
	return seeds
}

// setListedState sets the state of a VM in the platform's VM list.
func (c *cluster) setListedState(v *vm, state string) error {
	return standin.RegisterVM(c.platformAddr, api.VM{
		Name: v.name, Role: api.RoleEntry, DataCentre: v.dataCentre, Address: v.peerAddr, State: state,
	})
}

// kill sends SIGKILL to the daemon of a VM and closes the VM's relays.
func (c *cluster) kill(v *vm) {
	p := c.takeProcess(v)
	p.kill()
	v.closeRelays()
}

// takeProcess removes the daemon process of a VM from the cluster. The caller must
// stop it.
func (c *cluster) takeProcess(v *vm) *process {
	p := v.process
	v.process = nil
	c.processes = slices.DeleteFunc(c.processes, func(other *process) bool { return other == p })
	return p
}

func (v *vm) openRelays() error {
	for _, r := range v.relays {
		if err := r.open(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) closeRelays() {
	for _, r := range v.relays {
		r.close()
	}
}
