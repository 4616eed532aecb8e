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

// Layout describes a cluster of real processes.
type Layout struct {
	DataCentres []string
	// VMs is the number of daemons in each data centre.
	VMs int
	// Upstreams is the number of upstreams in each data centre.
	Upstreams int
	// Slots is the number of tasks that an upstream runs at once.
	Slots int
	// Speeds are the upstream speeds relative to the fastest, assigned in rotation.
	Speeds []float64
	// Relays puts a relay in front of every daemon and, per VM, in front of the
	// platform, so that network faults can be injected.
	Relays bool
	// Service is the service that the upstreams run; empty means rota-desk.
	Service string
	// UpstreamArgs are additional flags of the upstreams.
	UpstreamArgs []string
	// DaemonArgs are additional flags of every daemon.
	DaemonArgs []string
	// Dir is the directory for logs and the services file.
	Dir string
}

// cluster is a set of running processes: the platform, upstreams and daemons.
type cluster struct {
	layout       Layout
	platformAddr string
	servicesPath string   // services file
	httpAddrs    []string // for callers; of the VMs that started with the cluster
	vms          []*vm
	links        *links
	hellos       hellos
	processes    []*process
	upstreams    []api.VM
}

// startCluster starts all processes of a layout and waits until the daemons are ready.
func startCluster(ctx context.Context, layout Layout) (*cluster, error) {
	c := &cluster{layout: layout, links: newLinks()}
	if err := c.start(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	c.servicesPath = filepath.Join(c.layout.Dir, "services.yaml")
	if err := os.WriteFile(c.servicesPath, servicesFile(c.layout.Service), 0o644); err != nil {
		return err
	}
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	c.platformAddr = addresses[0]
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

// startDaemons starts the daemons one by one, then waits until all are ready.
func (c *cluster) startDaemons(ctx context.Context) error {
	for _, v := range c.vms {
		c.httpAddrs = append(c.httpAddrs, v.httpAddr)
		if err := c.startVM(ctx, v); err != nil {
			return err
		}
	}
	for _, v := range c.vms {
		if err := awaitHTTP(ctx, v.httpAddr, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// startStandins starts the platform, then the upstreams of each data centre.
func (c *cluster) startStandins(ctx context.Context) error {
	if err := c.startProcess("platform", "platform", "-listen", c.platformAddr); err != nil {
		return err
	}
	if err := awaitTCP(ctx, c.platformAddr); err != nil {
		return err
	}
	speeds := make([]string, len(c.layout.Speeds))
	for i, speed := range c.layout.Speeds {
		speeds[i] = strconv.FormatFloat(speed, 'g', -1, 64)
	}
	for _, dataCentre := range c.layout.DataCentres {
		args := []string{"upstreams", "-platform", c.platformAddr, "-data-centre", dataCentre,
			"-count", strconv.Itoa(c.layout.Upstreams), "-slots", strconv.Itoa(c.layout.Slots),
			"-speeds", strings.Join(speeds, ","), "-service", cmp.Or(c.layout.Service, serviceRotaDesk)}
		if err := c.startProcess("upstreams-"+dataCentre, append(args, c.layout.UpstreamArgs...)...); err != nil {
			return err
		}
	}
	return c.awaitUpstreams(ctx)
}

// awaitUpstreams waits until the platform lists every upstream.
func (c *cluster) awaitUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	platformStore := platform.NewStore(c.platformAddr)
	expected := len(c.layout.DataCentres) * c.layout.Upstreams
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		vms, _, err := vmlist.List(ctx, platformStore, vmlist.UpstreamPrefix)
		if err == nil && len(vms) == expected {
			c.upstreams = vms
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("not all upstreams registered with the platform in time")
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

// stop stops the processes in reverse order of their start and joins their exit errors.
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

// starts returns the start logs of all upstreams.
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

// speedSum returns the total speed of all slots of the cluster.
func (c *cluster) speedSum() float64 {
	sum := 0.0
	for i := range c.layout.Upstreams {
		sum += c.layout.Speeds[i%len(c.layout.Speeds)] * float64(c.layout.Slots)
	}
	return sum * float64(len(c.layout.DataCentres))
}
