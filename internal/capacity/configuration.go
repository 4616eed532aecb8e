package capacity

import (
	"fmt"

	"github.com/mustardstep/mustardstep/configuration"
)

// configurationSizes are numbers of entries.
var configurationSizes = []int{500, 1000, 2000, 4000, 8000}

// entriesPerCaller is the number of entries of one caller: its quota, its home
// and its share of the calls, settings and drains.
const entriesPerCaller = 20

// entriesOf returns a state with a number of quotas, the commonest entries.
func entriesOf(n int) []configuration.Entry {
	entries := make([]configuration.Entry, n)
	for i := range entries {
		entries[i] = configuration.Entry{Key: fmt.Sprintf("quotas/caller-%06d", i), Value: "1200", Revision: int64(i + 1)}
	}
	return entries
}

func configurationLines(size Size) []line {
	target := float64(size.Callers * entriesPerCaller)
	return []line{
		{
			name: "configuration_memory", role: "every entry VM", driver: "entries", unit: "bytes",
			sizes: configurationSizes, target: target,
			measure: func(n int) float64 {
				return heapBytes(func() any { return configuration.New(int64(n), entriesOf(n)) })
			},
		},
		{
			name: "configuration_change_time", role: "every entry VM", driver: "entries", unit: "ns",
			sizes: configurationSizes, target: target,
			measure: func(n int) float64 {
				state := configuration.New(int64(n), entriesOf(n))
				difference := configuration.New(int64(n), entriesOf(n)).With(int64(n+1), []configuration.Entry{
					{Key: "quotas/caller-000000", Value: "1300", Revision: int64(n + 1)},
				}).Since(int64(n))
				return nanoseconds(20, func() { state.Merge(difference) })
			},
		},
	}
}
