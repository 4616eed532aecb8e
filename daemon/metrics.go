package daemon

import (
	"expvar"
	"strconv"

	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/store"
)

// metrics holds the counters of one daemon. The HTTP front publishes them. They
// are not in the global expvar registry, so that several daemons can share a
// process.
type metrics struct {
	vars *expvar.Map

	calls, complete, failed *expvar.Int
	forwards, records       *expvar.Int
	recordFrames            *expvar.Int
	heartbeats, transfers   *expvar.Int
	mayHaveRun              *expvar.Int
	dispatch                *node.Metrics
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), dispatch: node.NewMetrics()}
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.vars.Set(name, v)
		return v
	}
	m.calls = counter("calls")
	m.complete = counter("calls_complete")
	m.failed = counter("calls_failed")
	m.mayHaveRun = counter("calls_may_have_run")
	m.forwards = counter("forwards_sent")
	m.records = counter("records_sent")
	m.recordFrames = counter("record_frames_sent")
	m.heartbeats = counter("heartbeats_sent")
	m.transfers = counter("fills_sent")
	m.publishDispatch()
	return m
}

// publishFrames publishes the number of frames sent to peers, by message kind, and
// their bytes.
func (m *metrics) publishFrames(peers *peer.Transport) {
	m.vars.Set("frames_sent", expvar.Func(func() any {
		sent := map[string]int64{}
		for kind, n := range peers.FramesSent() {
			sent[strconv.Itoa(int(kind))] = n
		}
		return sent
	}))
	m.vars.Set("frame_bytes_sent", expvar.Func(func() any { return peers.BytesSent() }))
}

// publishDispatch publishes the counters of the dispatching node.
func (m *metrics) publishDispatch() {
	m.vars.Set("task_starts", expvar.Func(func() any { return m.dispatch.Starts() }))
	m.vars.Set("upstream_looks", expvar.Func(func() any { return m.dispatch.Polls.Get() }))
	m.vars.Set("run_stops", expvar.Func(func() any { return m.dispatch.Stops.Get() }))
}

// publishStore publishes the number of calls to the platform's store and of those
// that failed.
func (m *metrics) publishStore(s *store.RateLimited) {
	calls := func() (made, failed int64) {
		if s == nil {
			return 0, 0
		}
		return s.Calls()
	}
	m.vars.Set("platform_calls", expvar.Func(func() any { made, _ := calls(); return made }))
	m.vars.Set("platform_failures", expvar.Func(func() any { _, failed := calls(); return failed }))
}
