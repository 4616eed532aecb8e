package daemon

import (
	"expvar"
	"strconv"

	"github.com/mustardstep/mustardstep/internal/peer"
)

// metrics are the counters of one daemon. They are published by the front and
// not in the global registry, so that several daemons can share a process.
type metrics struct {
	vars *expvar.Map

	calls, complete, failed     *expvar.Int
	forwards, records           *expvar.Int
	returnsLost, cancels        *expvar.Int
	recordFrames                *expvar.Int
	heartbeats, fills           *expvar.Int
	starts, refusals, mayHave   *expvar.Int
	platformCalls, platformFail *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init()}
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.vars.Set(name, v)
		return v
	}
	m.calls = counter("calls")
	m.complete = counter("calls_complete")
	m.failed = counter("calls_failed")
	m.mayHave = counter("calls_may_have_run")
	m.forwards = counter("forwards_sent")
	m.records = counter("records_sent")
	m.cancels = counter("task_cancels_sent")
	m.returnsLost = counter("loan_returns_lost")
	m.recordFrames = counter("record_frames_sent")
	m.heartbeats = counter("heartbeats_sent")
	m.fills = counter("fills_sent")
	m.starts = counter("task_starts_sent")
	m.refusals = counter("task_starts_refused")
	m.platformCalls = counter("platform_calls")
	m.platformFail = counter("platform_failures")
	return m
}

// countFrames publishes the frames sent to peers, by message kind.
func (m *metrics) countFrames(peers *peer.Transport) {
	m.vars.Set("frames_sent", expvar.Func(func() any {
		sent := map[string]int64{}
		for kind, n := range peers.Sent() {
			sent[strconv.Itoa(int(kind))] = n
		}
		return sent
	}))
	m.vars.Set("frame_bytes_sent", expvar.Func(func() any { return peers.SentBytes() }))
}
