package replay

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// variant is one system size or one way to propagate the configuration.
type variant struct {
	name        string
	dataCentres int
	vms         int // per data centre
	args        []string
	// withChanges is true if operators change the configuration.
	withChanges bool
}

const (
	// variantIdleTime is the duration of the idle cost measurement of a variant.
	variantIdleTime = 4 * time.Second
	// variantWatchWait is the maximum wait of a watch. It is a fraction of
	// variantIdleTime, so that the measurement covers several watches.
	variantWatchWait = "500ms"
)

// runConfigSizes measures the idle cost of the control plane for several system sizes.
func runConfigSizes(ctx context.Context, options Options) (*Report, error) {
	var variants []variant
	for _, size := range [][2]int{{1, 1}, {1, 2}, {1, 4}, {1, 8}, {2, 2}, {2, 4}, {4, 2}, {4, 4}} {
		variants = append(variants, variant{
			name: fmt.Sprintf("%d data centres of %d VMs", size[0], size[1]), dataCentres: size[0], vms: size[1],
		})
	}
	return runVariants(ctx, variants, options)
}

// runConfigSpread compares ways to propagate changes to all VMs under the same load.
func runConfigSpread(ctx context.Context, options Options) (*Report, error) {
	const dataCentres, vms = 3, 4
	return runVariants(ctx, []variant{
		{"one watch, comparison and notice", dataCentres, vms, nil, true},
		{"one watch, comparison only", dataCentres, vms, []string{"-config-notify=false"}, true},
		{"every VM watches, comparison", dataCentres, vms, []string{"-config-watchers", "1000", "-config-notify=false"}, true},
		{"notice only", dataCentres, vms, []string{"-config-watchers", "0", "-config-interval", "1m"}, true},
	}, options)
}

func runVariants(ctx context.Context, variants []variant, options Options) (*Report, error) {
	report := &Report{}
	for _, v := range variants {
		row, err := v.run(ctx, options)
		if err != nil {
			return nil, errors.Wrap(err, v.name)
		}
		report.Variants = append(report.Variants, *row)
	}
	return report, nil
}

func (v variant) run(ctx context.Context, options Options) (*ConfigVariant, error) {
	dir, err := os.MkdirTemp("", "mustardstep-replay-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	layout := Layout{
		VMs: v.vms, Upstreams: 1, Slots: 8, Speeds: []float64{1}, Dir: dir,
		DaemonArgs: append([]string{"-platform-watch-wait", variantWatchWait}, v.args...),
	}
	for i := range v.dataCentres {
		layout.DataCentres = append(layout.DataCentres, fmt.Sprintf("dc%d", i))
	}
	r, err := newConfigRun(ctx, layout, options.Seed)
	if err != nil {
		return nil, err
	}
	row, err := v.measure(ctx, r, options)
	return row, errors.Join(err, r.stop())
}

func (v variant) measure(ctx context.Context, r *configRun, options Options) (*ConfigVariant, error) {
	row := &ConfigVariant{Name: v.name, DataCentres: v.dataCentres, VMs: v.dataCentres * v.vms}
	idle, err := r.measureIdle(ctx, variantIdleTime)
	if err != nil {
		return nil, err
	}
	row.Idle = *idle
	if !v.withChanges {
		return row, nil
	}
	before, callsBefore, err := r.controlUsages()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := r.runOperators(ctx, loadDuration(options, spreadLoadTime), nil); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	after, callsAfter, err := r.controlUsages()
	if err != nil {
		return nil, err
	}
	// A variant that does not reach every VM is still reported; Agreed is false.
	_, agreeErr := r.awaitAgreement(ctx)
	time.Sleep(logFlushDelay)
	logs, err := r.readLogs()
	if err != nil {
		return nil, err
	}
	row.ChangesAccepted = len(r.accepted)
	row.Agreed = agreeErr == nil
	row.InForceMSP50, row.InForceMSP99 = propagationTimes(r.accepted, logs)
	changes := float64(max(1, len(r.accepted)))
	row.StoreCallsPerChange = (float64(callsAfter-callsBefore) - idle.StoreCallsPerS*seconds) / changes
	for vm := range after {
		bytes := float64(after[vm].bytes-before[vm].bytes) - idle.BytesPerNodeS*seconds
		row.BytesPerChangeNode += bytes / changes / float64(len(after))
	}
	return row, nil
}
