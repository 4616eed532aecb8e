package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/locality"
	"github.com/mustardstep/mustardstep/scheduler"
)

// Metrics holds the counters and latency histograms of a node.
type Metrics struct {
	set *metrics.Set

	Jobs, Terms, Polls, Stops, SuspectedCrashes, DrainingStarts, Removals *metrics.Counter

	answerTimes [intake.Abandoned + 1]*metrics.Histogram
	starts      []*metrics.Counter
	near, away  *metrics.Counter
	placements  map[locality.Kind]*metrics.Counter
	delayed     *metrics.Counter
	taskWaits   *metrics.Histogram
	startTimes  *metrics.Histogram
}

// NewMetrics returns metrics whose counters are zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:              set,
		Jobs:             set.NewCounter("mustardstep_jobs_total"),
		Terms:            set.NewCounter("mustardstep_terms_total"),
		Removals:         set.NewCounter("mustardstep_roster_removals_total"),
		Polls:            set.NewCounter("mustardstep_looks_total"),
		Stops:            set.NewCounter("mustardstep_stops_total"),
		SuspectedCrashes: set.NewCounter("mustardstep_upstream_suspected_crashes_total"),
		DrainingStarts:   set.NewCounter("mustardstep_starts_on_draining_upstreams_total"),
		near:             set.NewCounter(`mustardstep_placements_by_data_centre_total{where="origin"}`),
		away:             set.NewCounter(`mustardstep_placements_by_data_centre_total{where="other"}`),
		taskWaits:        set.NewHistogram("mustardstep_task_wait_seconds"),
		startTimes: set.NewHistogram(
			"mustardstep_start_seconds"),
	}
	for o := range m.answerTimes {
		m.answerTimes[o] = set.NewHistogram(fmt.Sprintf("mustardstep_answer_seconds{outcome=%q}", intake.Outcome(o)))
	}
	for _, reason := range []string{elsewhereSent, elsewhereNoDataCentre, elsewhereNoDispatcher, elsewhereDispatcherLost} {
		set.NewCounter(fmt.Sprintf("mustardstep_jobs_elsewhere_total{reason=%q}", reason))
	}
	m.placements = map[locality.Kind]*metrics.Counter{}
	for _, kind := range []locality.Kind{locality.Near, locality.Away} {
		m.placements[kind] = set.NewCounter(fmt.Sprintf("mustardstep_placements_total{place=%q}", kind))
	}
	m.delayed = set.NewCounter("mustardstep_placements_delayed_total")
	for _, end := range scheduler.SplitEnds() {
		set.NewCounter(fmt.Sprintf("mustardstep_splits_ended_total{reason=%q}", end))
	}
	for _, r := range scheduler.OrderResults() {
		m.starts = append(m.starts, set.NewCounter(fmt.Sprintf("mustardstep_starts_total{result=%q}", r)))
	}
	return m
}

func (m *Metrics) observeAnswer(o intake.Outcome, took time.Duration) {
	m.answerTimes[o].Update(took.Seconds())
}

func (m *Metrics) observeStart(r scheduler.OrderResult, took, waited time.Duration) {
	m.starts[r].Inc()
	m.startTimes.Update(took.Seconds())
	m.taskWaits.Update(waited.Seconds())
}

// observeElsewhere counts a job that went to another data centre, or could not.
func (m *Metrics) observeElsewhere(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardstep_jobs_elsewhere_total{reason=%q}", reason)).Inc()
}

// observePlacement counts a task for which a near place is preferred, and one that has waited.
func (m *Metrics) observePlacement(p locality.Placement) {
	if counter := m.placements[p.Kind]; counter != nil {
		counter.Inc()
	}
	if p.Waited > 0 {
		m.delayed.Inc()
	}
}

// observeFoundEnd counts a run of another term that was adopted or is over.
func (m *Metrics) observeFoundEnd(how string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardstep_found_runs_ended_total{how=%q}", how)).Inc()
}

// observeResurfaced counts a run that counted as over and was listed in the given state.
func (m *Metrics) observeResurfaced(state string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardstep_runs_resurfaced_total{how=%q}", state)).Inc()
}

// observeNearness counts a placement in the data centre of the origin, or in another one.
func (m *Metrics) observeNearness(near bool) {
	if near {
		m.near.Inc()
	} else {
		m.away.Inc()
	}
}

// observeProbation counts a probation that has begun.
func (m *Metrics) observeProbation(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardstep_upstream_probations_total{reason=%q}", reason)).Inc()
}

// AddLogCounts adds the counts of the lines of a logger.
func (m *Metrics) AddLogCounts(counts *logging.Counts) {
	for result, count := range map[string]*atomic.Uint64{"written": &counts.Written, "dropped": &counts.Dropped, "failed": &counts.Failed} {
		m.set.NewGauge(fmt.Sprintf("mustardstep_log_lines_total{result=%q}", result), func() float64 { return float64(count.Load()) })
	}
}

// observeSplitEnd counts a split that is over.
func (m *Metrics) observeSplitEnd(end scheduler.SplitEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardstep_splits_ended_total{reason=%q}", end)).Inc()
}

// Starts returns the number of start orders by result.
func (m *Metrics) Starts() map[string]uint64 {
	starts := map[string]uint64{}
	for r, counter := range m.starts {
		starts[scheduler.OrderResult(r).String()] = counter.Get()
	}
	return starts
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// registerGauges adds the gauges, which are evaluated when the metrics are
// written.
func (n *Node) registerGauges() {
	set := n.metrics.set
	set.NewGauge("mustardstep_jobs_open", func() float64 { return float64(n.jobs.Len()) })
	set.NewGauge("mustardstep_tasks_waiting", func() float64 { return float64(n.scheduler.Waiting()) })
	set.NewGauge("mustardstep_jobs_parked", func() float64 { return float64(n.scheduler.Parked()) })
	set.NewGauge("mustardstep_jobs_with_suspects", func() float64 { return float64(n.scheduler.WaitingSuspects()) })
	set.NewGauge("mustardstep_upstreams_on_probation", func() float64 { return float64(n.scheduler.UpstreamsOnProbation()) })
	set.NewGauge("mustardstep_term_token", func() float64 { return float64(n.term.current()) })
	set.NewGauge("mustardstep_members_heard", func() float64 { return float64(len(n.view.Load().Reachable)) })
	set.NewGauge("mustardstep_evacuated_data_centres", func() float64 { return float64(len(n.evacuation.table.State().DataCentres)) })
	set.NewGauge("mustardstep_members_lost", func() float64 { return float64(len(n.view.Load().WatchedLost())) })
	set.NewGauge("mustardstep_split_level", func() float64 {
		report := n.scheduler.SplitReport()
		return float64(report.Level())
	})
	set.NewGauge("mustardstep_barred", func() float64 {
		if n.fleet.Self().Barred {
			return 1
		}
		return 0
	})
	set.NewGauge("mustardstep_caller_return_seconds", func() float64 { return n.config.CallerReturn.Seconds() })
	set.NewGauge("mustardstep_caller_return_needed_seconds", func() float64 { return minCallerReturn(n.fleet.Timeout()).Seconds() })
	set.NewGauge("mustardstep_configuration_version", func() float64 {
		if t := n.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
}
