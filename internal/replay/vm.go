package replay

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
)

// vm is an entry VM of the system and the daemon on it.
type vm struct {
	name, dataCentre string
	http             string // address for callers
	listen           string // address at which the daemon accepts peers
	address          string // address that peers are told
	platform         string // address of the platform for this VM
	relays           []*relay
	process          *process // nil while the daemon does not run
}

// platformName names the platform in links.
const platformName = "platform"

// addVM adds a VM whose daemon does not run yet.
func (c *cluster) addVM(dataCentre string) (*vm, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	v := &vm{
		name: fmt.Sprintf("vm%d", len(c.vms)), dataCentre: dataCentre,
		http: addresses[0], listen: addresses[1], address: addresses[1], platform: c.platform,
	}
	if c.layout.Relays {
		v.address, v.platform = addresses[2], addresses[3]
		v.relays = []*relay{
			{name: v.name, address: v.address, target: v.listen, links: c.links, identify: c.hellos.identify},
			{name: platformName, address: v.platform, target: c.platform, links: c.links, identify: identifyAs(v.name)},
		}
	}
	c.vms = append(c.vms, v)
	return v, nil
}

// startVM starts the daemon of a VM and waits until peers can reach it.
func (c *cluster) startVM(ctx context.Context, v *vm) error {
	if err := c.spawn(v); err != nil {
		return err
	}
	return c.register(ctx, v)
}

// spawn starts the daemon of a VM, which comes back at its addresses. Its
// relays open before, since a daemon that listens already must not seem to
// refuse connections.
func (c *cluster) spawn(v *vm) error {
	if err := v.openRelays(); err != nil {
		return err
	}
	args := []string{
		"daemon", "-vm", v.name, "-data-centre", v.dataCentre, "-http-listen", v.http,
		"-peer-listen", v.listen, "-peer-advertise", v.address, "-seeds", strings.Join(c.seeds(), ","),
		"-platform", v.platform, "-schema-file", c.schema,
	}
	if err := c.startProcess(v.name, append(args, c.layout.DaemonArgs...)...); err != nil {
		return err
	}
	v.process = c.processes[len(c.processes)-1]
	return nil
}

// register waits until the daemon of a VM listens and lists it.
func (c *cluster) register(ctx context.Context, v *vm) error {
	if err := awaitTCP(ctx, v.listen); err != nil {
		return err
	}
	return c.setListedState(v, api.VMLive)
}

func (c *cluster) seeds() []string {
	seeds := make([]string, len(c.vms))
	for i, v := range c.vms {
		seeds[i] = fmt.Sprintf("%s=%s/%s", v.name, v.dataCentre, v.address)
	}
	return seeds
}

// setListedState sets the state of a VM in the platform's setListedState.
func (c *cluster) setListedState(v *vm, state string) error {
	return standin.RegisterVM(c.platform, api.VM{
		Name: v.name, Role: api.RoleEntry, DataCentre: v.dataCentre, Address: v.address, State: state,
	})
}

// kill ends the daemon of a VM at once; its address refuses from then on.
func (c *cluster) kill(v *vm) {
	p := c.takeProcess(v)
	p.kill()
	v.closeRelays()
}

// takeProcess leaves the daemon of a VM to the caller, who ends it.
func (c *cluster) takeProcess(v *vm) *process {
	p := v.process
	v.process = nil
	c.processes = slices.DeleteFunc(c.processes, func(other *process) bool { return other == p })
	return p
}

// openRelays lets the relays of a VM accept.
func (v *vm) openRelays() error {
	for _, r := range v.relays {
		if err := r.open(); err != nil {
			return err
		}
	}
	return nil
}

// closeRelays lets the relays of a VM refuse.
func (v *vm) closeRelays() {
	for _, r := range v.relays {
		r.close()
	}
}
