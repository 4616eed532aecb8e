package capacity

import (
	"fmt"

	"github.com/mustardstep/mustardstep/configuration"
)

// entryCounts are the numbers of configuration entries at which costs are measured.
var entryCounts = []int{500, 1000, 2000, 4000, 8000}

// entriesPerCaller is the number of configuration entries per caller: its quota,
// its home and its share of the calls, settings and drains.
const entriesPerCaller = 20

// quotaEntries returns n quota entries, the most common kind.
func quotaEntries(n int) []configuration.Entry {
	entries := make([]configuration.Entry, n)
	for i := range entries {
		entries[i] = configuration.Entry{Key: fmt.Sprintf("quotas/caller-%06d", i), Value: "1200", Revision: int64(i + 1)}
	}
	return entries
}

func configurationBenchmarks(size Size) []benchmark {
	target := float64(size.Callers * entriesPerCaller)
	return []benchmark{
		{
			name: "configuration_memory", role: "every entry VM", driver: "entries", unit: "bytes",
			sizes: entryCounts, target: target,
			measure: func(n int) float64 {
				return heapBytes(func() any { return configuration.New(int64(n), quotaEntries(n)) })
			},
		},
		{
			name: "configuration_change_time", role: "every entry VM", driver: "entries", unit: "ns",
			sizes: entryCounts, target: target,
			measure: func(n int) float64 {
				state := configuration.New(int64(n), quotaEntries(n))
				difference := configuration.New(int64(n), quotaEntries(n)).With(int64(n+1), []configuration.Entry{
					{Key: "quotas/caller-000000", Value: "1300", Revision: int64(n + 1)},
				}).Since(int64(n))
				return meanNanoseconds(20, func() { state.Merge(difference) })
			},
		},
	}
}
