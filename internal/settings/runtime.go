package settings

import (
	"flag"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Override returns a copy of the daemon's settings in which values, keyed by flag,
// replace settings. It skips a setting that cannot change while the daemon runs
// or whose value is invalid, and returns the errors of all skipped settings
// joined.
func Override(base DaemonProgram, values map[string]string) (DaemonProgram, error) {
	s := base
	b := NewBinder(flag.NewFlagSet("", flag.ContinueOnError))
	s.Bind(b)
	s = base // Bind has overwritten s with the defaults
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(values)) {
		override := b.runtime[name]
		if override == nil {
			errs = append(errs, errors.Newf("setting %q cannot change while the daemon runs; those that can are %s",
				name, strings.Join(slices.Sorted(maps.Keys(b.runtime)), ", ")))
			continue
		}
		if err := override(values[name]); err != nil {
			errs = append(errs, errors.Wrapf(err, "setting %q", name))
		}
	}
	return s, errors.Join(errs...)
}

// override sets the value from text. It keeps the old value if text is invalid.
func (s *setting[T]) override(text string) error {
	old := *s.target
	err := parse(text, s.target)
	if err == nil {
		err = s.checkBounds()
	}
	if err != nil {
		*s.target = old
	}
	return err
}
