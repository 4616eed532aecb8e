package capacity

import "slices"

// benchmarks returns every row of the table.
func benchmarks() []benchmark {
	return slices.Concat(frontBenchmarks(TargetSize), ownerBenchmarks(TargetSize), membershipBenchmarks(TargetSize), dispatcherBenchmarks(TargetSize), watcherBenchmarks(TargetSize), configurationBenchmarks(TargetSize))
}
