package capacity

import "slices"

// lines returns every row of the table.
func lines() []line {
	return slices.Concat(frontLines(TargetSize), ownerLines(TargetSize), memberLines(TargetSize), dispatcherLines(TargetSize), watcherLines(TargetSize), configurationLines(TargetSize))
}
