package replay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

const (
	probeInterval = 10 * time.Millisecond
	// probeTimeout is the deadline of one probe.
	probeTimeout = 2 * time.Second
	// probeTaskUS is the run time of a probe's only task, in microseconds.
	probeTaskUS = 1000
)

// probeStream sends submissions through one entry VM and records when they were
// served. The keys of a stream share the owner and the second-ranked VM.
type probeStream struct {
	caller string
	keys   []string
	entry  *vm
	client *client.Client

	mu     sync.Mutex // guards probes
	probes []probe    // in order of completion
}

// probe is a finished submission of a stream.
type probe struct {
	sent, finished time.Time
	served         bool
}

// run sends a probe in every interval until ctx is done or the keys are used up.
func (s *probeStream) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for _, key := range s.keys {
		probes.Go(func() { s.probe(key) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *probeStream) probe(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	job := &TraceJob{Caller: s.caller, Key: key, Service: "rota-desk", Call: "heat-alert", Tasks: []TraceTask{{RunUS: probeTaskUS}}}
	sent := time.Now()
	results, err := s.client.Call(ctx, client.Request{
		Service: job.Service, Call: job.Call, Key: key, Parameters: callParameters(job),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = append(s.probes, probe{sent, time.Now(), err == nil && hasAllResults(job, results)})
}

// availability summarizes the probes that a stream sent after a fault.
type availability struct {
	sent, failed int
	firstSuccess time.Duration // from the fault to the first served probe
	gap          time.Duration // longest time without a served probe
}

// availability summarizes the probes sent after a fault. A stream without a served
// probe counts as unavailable until end.
func (s *probeStream) availability(fault faultEvent, end time.Time) availability {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := availability{firstSuccess: end.Sub(fault.start)}
	lastSuccess := fault.start
	for _, p := range s.probes {
		if p.sent.Before(fault.end) {
			continue
		}
		a.sent++
		if !p.served {
			a.failed++
			continue
		}
		if a.sent-a.failed == 1 {
			a.firstSuccess = p.finished.Sub(fault.start)
		}
		a.gap = max(a.gap, p.finished.Sub(lastSuccess))
		lastSuccess = p.finished
	}
	a.gap = max(a.gap, end.Sub(lastSuccess))
	return a
}

// probeKeys returns a caller whose home is the owner's data centre and, for each other
// VM there, count keys of the owner with that VM ranked second.
func probeKeys(view *membership.View, owner *vm, seed int64, count int) (caller string, keysBySecond map[string][]string) {
	for i := 0; caller == "" || view.HomeOf(caller) != owner.dataCentre; i++ {
		caller = fmt.Sprintf("probe-%d", i)
	}
	others := len(view.Members(owner.dataCentre)) - 1
	keysBySecond = map[string][]string{}
	for i, full := 0, 0; full < others; i++ {
		key := fmt.Sprintf("p%d-%d", seed, i)
		first, second, _ := view.Ranked(owner.dataCentre, submission.ID{Caller: caller, Key: key}.Hash())
		if first.VM != owner.name || len(keysBySecond[second.VM]) == count {
			continue
		}
		keysBySecond[second.VM] = append(keysBySecond[second.VM], key)
		if len(keysBySecond[second.VM]) == count {
			full++
		}
	}
	return caller, keysBySecond
}

// prepareProbes creates the streams that probe the victim's keys: one for each
// second-ranked VM and entry VM of its data centre.
func (tb *testbed) prepareProbes() {
	view := tb.cluster.view(tb.victim)
	count := int(tb.seconds/probeInterval.Seconds()) + 1
	entries := slices.DeleteFunc(tb.localVMs(), func(v *vm) bool { return v == tb.victim })
	caller, keysBySecond := probeKeys(view, tb.victim, tb.seed, count*len(entries))
	for _, keys := range keysBySecond {
		for i, entry := range entries {
			tb.streams = append(tb.streams, &probeStream{
				caller: caller, keys: keys[i*count : (i+1)*count], entry: entry, client: tb.probeClient(caller, entry),
			})
		}
	}
}

// probeClient returns a client of one entry VM. Its backoff exceeds the deadline of a
// probe, so it never retries.
func (tb *testbed) probeClient(caller string, entry *vm) *client.Client {
	return client.New(client.Config{
		Addresses: []string{entry.httpAddr}, Caller: caller, Backoff: 2 * probeTimeout,
		Observe: func(a client.Attempt) { tb.load.attempts.add(caller, a) },
	})
}

// probe runs the streams from the step f.probeAfter to the end of the load. It returns
// the end time.
func (tb *testbed) probe(f *fault) time.Time {
	end := tb.startedAt.Add(tb.loadDuration())
	ctx, cancel := context.WithDeadline(tb.ctx, end)
	defer cancel()
	time.Sleep(time.Until(tb.stepTime(f.steps[f.probeAfter])))
	var streams sync.WaitGroup
	for _, stream := range tb.streams {
		streams.Go(func() { stream.run(ctx) })
	}
	streams.Wait()
	return end
}

// reportAvailability adds the availability of the probe streams to a report. It skips
// streams whose entry VM was killed or drained.
func (tb *testbed) reportAvailability(r *FaultReport, fault faultEvent, end time.Time) {
	firstSuccess := hdrhistogram.New(1, probeTimeout.Microseconds()*1000, 3)
	for _, stream := range tb.streams {
		if tb.affected[stream.entry] {
			continue
		}
		a := stream.availability(fault, end)
		r.Probes += a.sent
		r.ProbesFailed += a.failed
		r.GapMSMax = max(r.GapMSMax, milliseconds(a.gap))
		r.UnavailableMSMax = max(r.UnavailableMSMax, milliseconds(a.firstSuccess))
		// Times above the histogram's range are recorded as its maximum.
		_ = firstSuccess.RecordValue(min(a.firstSuccess.Microseconds(), firstSuccess.HighestTrackableValue()))
	}
	r.UnavailableMSP50 = float64(firstSuccess.ValueAtQuantile(50)) / 1000
}
