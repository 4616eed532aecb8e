package capacity

import "slices"

// lines returns every row of the table.
func lines() []line {
	return slices.Concat(frontLines(ToCome), ownerLines(ToCome), memberLines(ToCome), dispatcherLines(ToCome), watcherLines(ToCome), configurationLines(ToCome))
}
