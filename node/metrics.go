package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
)

// Metrics holds the counters and latency histograms of a node.
type Metrics struct {
	set *metrics.Set

	Jobs, Terms, Looks, Stops *metrics.Counter

	answers [intake.Abandoned + 1]*metrics.Histogram
	starts  [scheduler.OrderUnanswered + 1]*metrics.Counter
	waits   *metrics.Histogram
	orders  *metrics.Histogram
}

// NewMetrics returns metrics that count from zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:   set,
		Jobs:  set.NewCounter("mustardstep_jobs_total"),
		Terms: set.NewCounter("mustardstep_terms_total"),
		Looks: set.NewCounter("mustardstep_looks_total"),
		Stops: set.NewCounter("mustardstep_stops_total"),
		waits: set.NewHistogram("mustardstep_task_wait_seconds"),
		orders: set.NewHistogram(
			"mustardstep_start_seconds"),
	}
	for o := range m.answers {
		m.answers[o] = set.NewHistogram(fmt.Sprintf("mustardstep_answer_seconds{outcome=%q}", intake.Outcome(o)))
	}
	for r := range m.starts {
		m.starts[r] = set.NewCounter(fmt.Sprintf("mustardstep_starts_total{result=%q}", scheduler.OrderResult(r)))
	}
	return m
}

func (m *Metrics) answered(o intake.Outcome, took time.Duration) {
	m.answers[o].Update(took.Seconds())
}

func (m *Metrics) started(r scheduler.OrderResult, took, waited time.Duration) {
	m.starts[r].Inc()
	m.orders.Update(took.Seconds())
	m.waits.Update(waited.Seconds())
}

// Starts returns the number of orders to start a task, by their result.
func (m *Metrics) Starts() map[string]uint64 {
	starts := map[string]uint64{}
	for r, counter := range m.starts {
		starts[scheduler.OrderResult(r).String()] = counter.Get()
	}
	return starts
}

// Write prints every metric as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// gauges adds what is read when the metrics are printed.
func (n *Node) gauges() {
	set := n.metrics.set
	set.NewGauge("mustardstep_jobs_open", func() float64 { return float64(n.jobs.Len()) })
	set.NewGauge("mustardstep_tasks_waiting", func() float64 { return float64(n.scheduler.Waiting()) })
	set.NewGauge("mustardstep_term_token", func() float64 { return float64(n.term.current()) })
	set.NewGauge("mustardstep_members_heard", func() float64 { return float64(len(n.view.Load().Reachable)) })
	set.NewGauge("mustardstep_configuration_version", func() float64 {
		if t := n.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
}
