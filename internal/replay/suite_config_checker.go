package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// logFlushDelay exceeds the time a daemon takes to write out buffered log lines.
const logFlushDelay = 300 * time.Millisecond

// observation is a line of a daemon's log from which the checker derives the revision in
// force.
type observation struct {
	At       time.Time `json:"time"`
	Message  string    `json:"msg"`
	Revision int64     `json:"revision"`
}

// Log messages of observations.
const (
	messageServing = "serving"
	messageTaken   = "configuration taken"
	messageInForce = "configuration in force"
)

// readLogs returns the observations of each VM in order of time.
func (r *configRun) readLogs() ([][]observation, error) {
	var logs [][]observation
	for vm := range r.httpAddrs {
		data, err := os.ReadFile(r.logPath(fmt.Sprintf("vm%d", vm)))
		if err != nil {
			return nil, err
		}
		logs = append(logs, parseObservations(data))
	}
	return logs, nil
}

// parseObservations returns the observations of a log in order of time. Log lines are
// written in batches, not in order.
func parseObservations(data []byte) []observation {
	var observations []observation
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		var o observation
		// A line truncated by the exit of the process is not valid JSON.
		if json.Unmarshal(scanner.Bytes(), &o) != nil {
			continue
		}
		if o.Message == messageServing || o.Message == messageTaken || o.Message == messageInForce {
			observations = append(observations, o)
		}
	}
	slices.SortStableFunc(observations, func(a, b observation) int { return a.At.Compare(b.At) })
	return observations
}

// countReverts counts how often a VM had a lower revision in force than before. After a
// start, a VM has no revision in force until it logs messageTaken.
func countReverts(logs [][]observation) int {
	reverts := 0
	for _, observations := range logs {
		highest, started := int64(0), false
		for _, o := range observations {
			switch o.Message {
			case messageServing:
				started = false
				continue
			case messageTaken:
				started = true
			}
			if started && o.Revision < highest {
				reverts++
			}
			highest = max(highest, o.Revision)
		}
	}
	return reverts
}

// propagationTimes returns the median and the 99th percentile of the time from the
// acceptance of a change until it is in force on all VMs, in milliseconds. The time of
// acceptance is when the operator received the response or when the first VM had the
// change in force, whichever came first. A VM that got the change by a restart, or that
// had no configuration at the acceptance, does not extend the time.
func propagationTimes(accepted []acceptedChange, logs [][]observation) (p50, p99 float64) {
	var times []float64
	for _, a := range accepted {
		first, last := a.at, time.Time{}
		for _, observations := range logs {
			i := slices.IndexFunc(observations, func(o observation) bool { return o.Revision >= a.revision })
			if i < 0 {
				continue // only possible in variants whose VMs did not agree
			}
			at := observations[i].At
			if at.Before(first) {
				first = at
			}
			if observations[i].Message == messageInForce && hadConfigurationBefore(observations[:i], a.at) && at.After(last) {
				last = at
			}
		}
		times = append(times, max(0, last.Sub(first).Seconds()*1000))
	}
	slices.Sort(times)
	return percentile(times, 50), percentile(times, 99)
}

// hadConfigurationBefore reports whether the process that wrote the last of these lines had a
// configuration before a time.
func hadConfigurationBefore(earlier []observation, at time.Time) bool {
	for _, o := range slices.Backward(earlier) {
		if o.Message == messageTaken {
			return o.At.Before(at)
		}
		if o.Message == messageServing {
			return false
		}
	}
	return false
}

// hasConfigViolations reports whether an accepted change was lost or a VM reverted to an
// earlier revision.
func (r *Report) hasConfigViolations() bool {
	return (r.ChangesLost != nil && *r.ChangesLost > 0) || (r.Reverts != nil && *r.Reverts > 0)
}

func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p/100))]
}

// controlUsage holds the bytes and frames sent and the CPU time used by a daemon since
// its start.
type controlUsage struct {
	bytes, frames int64
	cpuTime       time.Duration
}

// measureIdle measures the cost of the control plane without load.
func (r *configRun) measureIdle(ctx context.Context, length time.Duration) (*IdleCost, error) {
	before, callsBefore, err := r.controlUsages()
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(length):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	after, callsAfter, err := r.controlUsages()
	if err != nil {
		return nil, err
	}
	seconds := length.Seconds()
	cost := &IdleCost{StoreCallsPerS: float64(callsAfter-callsBefore) / seconds}
	for vm := range after {
		bytes := float64(after[vm].bytes-before[vm].bytes) / seconds
		cost.BytesPerNodeS += bytes / float64(len(after))
		cost.BytesMaxNodeS = max(cost.BytesMaxNodeS, bytes)
		cost.FramesPerNodeS += float64(after[vm].frames-before[vm].frames) / seconds / float64(len(after))
		cost.CorePercent = max(cost.CorePercent, 100*(after[vm].cpuTime-before[vm].cpuTime).Seconds()/seconds)
		resident, err := r.residentMB(vm)
		if err != nil {
			return nil, err
		}
		cost.MemoryMB = max(cost.MemoryMB, resident)
	}
	return cost, nil
}

// controlUsages returns the usage of each daemon and the number of calls to the
// platform's store.
func (r *configRun) controlUsages() ([]controlUsage, int64, error) {
	all := make([]controlUsage, len(r.httpAddrs))
	for vm, address := range r.httpAddrs {
		vars, err := getJSON[struct {
			Bytes  int64            `json:"frame_bytes_sent"`
			Frames map[string]int64 `json:"frames_sent"`
		}]("http://" + address + "/debug/vars")
		if err != nil {
			return nil, 0, err
		}
		all[vm].bytes = vars.Bytes
		for _, n := range vars.Frames {
			all[vm].frames += n
		}
		if all[vm].cpuTime, err = r.cpuTime(vm); err != nil {
			return nil, 0, err
		}
	}
	calls, err := getJSON[int64]("http://" + r.platformAddr + "/standin/calls")
	return all, *calls, err
}

func (r *configRun) pid(vm int) (int, error) {
	name := fmt.Sprintf("vm%d", vm)
	for _, p := range r.processes {
		if p.name == name {
			return p.cmd.Process.Pid, nil
		}
	}
	return 0, errors.Newf("no process named %s", name)
}

// cpuTime returns the CPU time of the daemon of a VM.
func (r *configRun) cpuTime(vm int) (time.Duration, error) {
	const ticksPerSecond = 100 // USER_HZ
	pid, err := r.pid(vm)
	if err != nil {
		return 0, err
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// After the program name, the 12th and 13th fields are the ticks in user and
	// system mode.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}

// residentMB returns the resident memory of the daemon of a VM, in megabytes.
func (r *configRun) residentMB(vm int) (float64, error) {
	pid, err := r.pid(vm)
	if err != nil {
		return 0, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes float64
	_, err = fmt.Sscan(rest, &kilobytes)
	return kilobytes / 1024, err
}
