package replay

import (
	"cmp"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/vmlist"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/valyala/fasthttp"
)

// Layout describes a system of real processes.
type Layout struct {
	DataCentres []string
	// VMs is the number of daemons in each data centre.
	VMs int
	// Upstreams is the number of upstreams in each data centre.
	Upstreams int
	Slots     int
	// Speeds of the upstreams relative to the fastest, repeated in turn.
	Speeds []float64
	// Relays puts relays between the daemons and before the platform, at which
	// connections can be cut.
	Relays bool
	// Service is the service that the upstreams run; empty takes rota-desk.
	Service string
	// UpstreamArgs are further flags of the upstreams.
	UpstreamArgs []string
	// DaemonArgs are further flags of every daemon.
	DaemonArgs []string
	// Dir receives logs and the services file.
	Dir string
}

// cluster is a running system.
type cluster struct {
	layout    Layout
	platform  string
	schema    string   // path of the services file
	http      []string // addresses of the first daemons for callers
	vms       []*vm
	links     *links
	hellos    hellos
	processes []*process
	upstreams []api.VM
}

// startCluster starts every process and waits until all daemons are ready.
func startCluster(ctx context.Context, layout Layout) (*cluster, error) {
	c := &cluster{layout: layout, links: newLinks()}
	if err := c.start(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	c.schema = filepath.Join(c.layout.Dir, "services.yaml")
	if err := os.WriteFile(c.schema, servicesFile(c.layout.Service), 0o644); err != nil {
		return err
	}
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	c.platform = addresses[0]
	if err := c.startStandins(ctx); err != nil {
		return err
	}
	for _, dataCentre := range c.layout.DataCentres {
		for range c.layout.VMs {
			if _, err := c.addVM(dataCentre); err != nil {
				return err
			}
		}
	}
	return c.startDaemons(ctx)
}

// startDaemons starts every daemon, then waits until all are ready.
func (c *cluster) startDaemons(ctx context.Context) error {
	for _, v := range c.vms {
		c.http = append(c.http, v.http)
		if err := c.startVM(ctx, v); err != nil {
			return err
		}
	}
	for _, v := range c.vms {
		if err := awaitHTTP(ctx, v.http, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// startStandins starts the platform, then the upstreams of each data centre.
func (c *cluster) startStandins(ctx context.Context) error {
	if err := c.startProcess("platform", "platform", "-listen", c.platform); err != nil {
		return err
	}
	if err := awaitTCP(ctx, c.platform); err != nil {
		return err
	}
	speeds := make([]string, len(c.layout.Speeds))
	for i, speed := range c.layout.Speeds {
		speeds[i] = strconv.FormatFloat(speed, 'g', -1, 64)
	}
	for _, dataCentre := range c.layout.DataCentres {
		args := []string{"upstreams", "-platform", c.platform, "-data-centre", dataCentre,
			"-count", strconv.Itoa(c.layout.Upstreams), "-slots", strconv.Itoa(c.layout.Slots),
			"-speeds", strings.Join(speeds, ","), "-service", cmp.Or(c.layout.Service, serviceRotaDesk)}
		if err := c.startProcess("upstreams-"+dataCentre, append(args, c.layout.UpstreamArgs...)...); err != nil {
			return err
		}
	}
	return c.awaitUpstreams(ctx)
}

// awaitUpstreams waits until every upstream is on the platform's list.
func (c *cluster) awaitUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	service := platform.NewStore(c.platform)
	expected := len(c.layout.DataCentres) * c.layout.Upstreams
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		vms, err := vmlist.List(ctx, service, vmlist.UpstreamPrefix)
		if err == nil && len(vms) == expected {
			c.upstreams = vms
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("upstreams did not register")
		}
	}
}

func (c *cluster) startProcess(name string, args ...string) error {
	p, err := startProcess(name, c.layout.Dir, args...)
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return err
}

// stop ends every process, the daemons first, and joins their exit errors.
func (c *cluster) stop() error {
	var errs []error
	for i := len(c.processes) - 1; i >= 0; i-- {
		if err := c.processes[i].stop(); err != nil {
			errs = append(errs, errors.Wrap(err, c.processes[i].name))
		}
	}
	for _, v := range c.vms {
		v.closeRelays()
	}
	c.processes = nil
	return errors.Join(errs...)
}

// starts collects the start logs of all upstreams.
func (c *cluster) starts() ([]api.StartEntry, error) {
	var all []api.StartEntry
	for _, vm := range c.upstreams {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+vm.Address+"/standin/starts", startTimeout)
		if err != nil {
			return nil, errors.Wrapf(err, "start log of %s", vm.Name)
		}
		var log api.StartLog
		if err := json.Unmarshal(body, &log); err != nil {
			return nil, errors.Wrapf(err, "start log of %s", vm.Name)
		}
		all = append(all, log.Starts...)
	}
	return all, nil
}

// speedSum returns the summed speed of all slots.
func (c *cluster) speedSum() float64 {
	sum := 0.0
	for i := range c.layout.Upstreams {
		sum += c.layout.Speeds[i%len(c.layout.Speeds)] * float64(c.layout.Slots)
	}
	return sum * float64(len(c.layout.DataCentres))
}
