package settings

import (
	"flag"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Override returns a copy of the daemon's settings with those replaced that
// values names by flag, and the error of each that cannot be: it may not change
// while the daemon runs, or its value is bad. The others are replaced all the
// same.
func Override(base DaemonProgram, values map[string]string) (DaemonProgram, error) {
	s := base
	b := NewBinder(flag.NewFlagSet("", flag.ContinueOnError))
	s.Bind(b)
	s = base // Bind has set the defaults
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

// override replaces the value, or keeps the old one where the text is bad.
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
