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
	// probeTaskUS is the run time of a probe's one task, in microseconds.
	probeTaskUS = 1000
)

// probeStream sends new submissions that a VM owns through one entry VM, all
// with the same second in rank, and notes when they were served.
type probeStream struct {
	caller string
	keys   []string
	entry  *vm
	client *client.Client

	mu     sync.Mutex // guards probes
	probes []probe    // by time of their end
}

// probe is one submission of a stream that has ended.
type probe struct {
	sent, ended time.Time
	served      bool
}

// run sends a probe in every interval until the context ends.
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

// availability is what a probe stream saw after a fault.
type availability struct {
	sent, failed int
	first        time.Duration // from the fault to the first probe served
	gap          time.Duration // longest time without a probe served
}

// availability judges the probes sent after a fault. A stream without a served
// probe was unavailable to its end.
func (s *probeStream) availability(fault faultEvent, end time.Time) availability {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := availability{first: end.Sub(fault.at)}
	last := fault.at
	for _, p := range s.probes {
		if p.sent.Before(fault.done) {
			continue
		}
		a.sent++
		if !p.served {
			a.failed++
			continue
		}
		if a.sent-a.failed == 1 {
			a.first = p.ended.Sub(fault.at)
		}
		a.gap = max(a.gap, p.ended.Sub(last))
		last = p.ended
	}
	a.gap = max(a.gap, end.Sub(last))
	return a
}

// probeKeys finds a caller whose home is the data centre of a VM and, for each
// other VM there, keys that the VM owns with the other as second in rank.
func probeKeys(view *membership.View, owner *vm, seed int64, count int) (caller string, byHolder map[string][]string) {
	for i := 0; caller == "" || view.HomeOf(caller) != owner.dataCentre; i++ {
		caller = fmt.Sprintf("probe-%d", i)
	}
	holders := len(view.Members(owner.dataCentre)) - 1
	byHolder = map[string][]string{}
	for i, full := 0, 0; full < holders; i++ {
		key := fmt.Sprintf("p%d-%d", seed, i)
		first, second, _ := view.Ranked(owner.dataCentre, submission.ID{Caller: caller, Key: key}.Hash())
		if first.VM != owner.name || len(byHolder[second.VM]) == count {
			continue
		}
		byHolder[second.VM] = append(byHolder[second.VM], key)
		if len(byHolder[second.VM]) == count {
			full++
		}
	}
	return caller, byHolder
}

// prepareProbes makes the streams that probe the victim's keys: one through
// each other VM of its data centre for each second in rank.
func (s *testbed) prepareProbes() {
	view := s.cluster.view(s.victim)
	count := int(s.seconds/probeInterval.Seconds()) + 1
	entries := slices.DeleteFunc(s.home(), func(v *vm) bool { return v == s.victim })
	caller, byHolder := probeKeys(view, s.victim, s.seed, count*len(entries))
	for _, keys := range byHolder {
		for i, entry := range entries {
			s.streams = append(s.streams, &probeStream{
				caller: caller, keys: keys[i*count : (i+1)*count], entry: entry, client: s.probeClient(caller, entry),
			})
		}
	}
}

// probeClient returns a client that makes one attempt through one VM.
func (s *testbed) probeClient(caller string, entry *vm) *client.Client {
	return client.New(client.Config{
		Addresses: []string{entry.httpAddr}, Caller: caller, Backoff: 2 * probeTimeout,
		Observe: func(a client.Attempt) { s.load.attempts.add(caller, a) },
	})
}

// probe runs the streams from the probed step of a fault to the end of the
// load, which it returns.
func (s *testbed) probe(f *fault) time.Time {
	end := s.begin.Add(s.length())
	ctx, cancel := context.WithDeadline(s.ctx, end)
	defer cancel()
	time.Sleep(time.Until(s.timeOf(f.steps[f.probed])))
	var streams sync.WaitGroup
	for _, stream := range s.streams {
		streams.Go(func() { stream.run(ctx) })
	}
	streams.Wait()
	return end
}

// judgeProbes enters the figures of the streams whose entry VM was not struck.
func (s *testbed) judgeProbes(r *FaultReport, fault faultEvent, end time.Time) {
	first := hdrhistogram.New(1, probeTimeout.Microseconds()*1000, 3)
	for _, stream := range s.streams {
		if s.struck[stream.entry] {
			continue
		}
		a := stream.availability(fault, end)
		r.Probes += a.sent
		r.ProbesFailed += a.failed
		r.GapMSMax = max(r.GapMSMax, milliseconds(a.gap))
		r.UnavailableMSMax = max(r.UnavailableMSMax, milliseconds(a.first))
		// A time above the histogram's range is entered at its end.
		_ = first.RecordValue(min(a.first.Microseconds(), first.HighestTrackableValue()))
	}
	r.UnavailableMSP50 = float64(first.ValueAtQuantile(50)) / 1000
}
