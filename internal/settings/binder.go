// Package settings reads the settings of the programs from flags and environment
// variables and validates them. The structs are generated from schema/settings.
package settings

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Binder declares settings on a flag set and resolves them from flags and the
// environment. It is not safe for concurrent use.
type Binder struct {
	flags   *flag.FlagSet
	checks  []func(lookupEnv func(string) (string, bool), isSet map[string]bool) error
	runtime map[string]func(text string) error // by flag name
}

// NewBinder returns a binder that declares its flags on flags.
func NewBinder(flags *flag.FlagSet) *Binder {
	return &Binder{flags: flags, runtime: map[string]func(string) error{}}
}

// Resolve applies environment variables to settings whose flag is not set and
// validates every setting. It returns all errors joined. Call it after parsing the
// flag set.
func (b *Binder) Resolve(lookupEnv func(string) (string, bool)) error {
	isSet := map[string]bool{}
	b.flags.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	var errs []error
	for _, check := range b.checks {
		if err := check(lookupEnv, isSet); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

type value interface {
	string | bool | int | float64 | time.Duration | []string
}

type definition[T value] struct {
	flag, env, help, unit, defaultText string
	required                           bool
	runtime                            bool // may change while the program runs
	min, max                           *T
	oneOf                              []string
}

// bound returns a pointer to a minimum or a maximum, for a definition.
func bound[T value](v T) *T { return &v }

// setting implements flag.Value. Set stores a parse error, which check returns
// later, so that Resolve reports all errors at once.
type setting[T value] struct {
	definition[T]
	target   *T
	parseErr error
}

// bind declares a setting and sets target to its default.
func bind[T value](b *Binder, target *T, d definition[T]) {
	s := &setting[T]{definition: d, target: target}
	if d.defaultText != "" {
		if err := s.Set(d.defaultText); err != nil {
			panic(err)
		}
	}
	help := d.help
	if d.unit != "" {
		help += " (" + d.unit + ")"
	}
	b.flags.Var(s, d.flag, help+" [$"+d.env+"]")
	b.checks = append(b.checks, s.check)
	if d.runtime {
		b.runtime[d.flag] = s.override
	}
}

// String implements flag.Value.
func (s *setting[T]) String() string {
	if s.target == nil {
		return ""
	}
	if list, ok := any(*s.target).([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(*s.target)
}

// IsBoolFlag allows a boolean flag without a value.
func (s *setting[T]) IsBoolFlag() bool {
	_, isBool := any(s.target).(*bool)
	return isBool
}

// Set implements flag.Value. It always returns nil; check reports parse errors.
func (s *setting[T]) Set(text string) error {
	s.parseErr = parse(text, s.target)
	return nil
}

func (s *setting[T]) check(lookupEnv func(string) (string, bool), isSet map[string]bool) error {
	source := "-" + s.flag
	if text, ok := lookupEnv(s.env); ok && !isSet[s.flag] {
		source = s.env
		s.parseErr = parse(text, s.target)
	}
	if s.parseErr != nil {
		return errors.Newf("%s: %v", source, s.parseErr)
	}
	if err := s.checkBounds(); err != nil {
		return errors.Newf("%s: %v", source, err)
	}
	return nil
}

func (s *setting[T]) checkBounds() error {
	switch v := any(*s.target).(type) {
	case string:
		if s.required && v == "" {
			return errors.Newf("required (flag -%s or %s)", s.flag, s.env)
		}
		if len(s.oneOf) > 0 && !slices.Contains(s.oneOf, v) {
			return errors.Newf("%q is not one of %s", v, strings.Join(s.oneOf, ", "))
		}
		return nil
	case int:
		return checkRange(v, any(s.min).(*int), any(s.max).(*int))
	case float64:
		return checkRange(v, any(s.min).(*float64), any(s.max).(*float64))
	case time.Duration:
		return checkRange(v, any(s.min).(*time.Duration), any(s.max).(*time.Duration))
	}
	return nil
}

func checkRange[T cmp.Ordered](v T, min, max *T) error {
	// cmp.Less orders NaN before every other value, so a minimum rejects it.
	if min != nil && cmp.Less(v, *min) {
		return errors.Newf("%v is below the minimum %v", v, *min)
	}
	if max != nil && v > *max {
		return errors.Newf("%v is above the maximum %v", v, *max)
	}
	return nil
}

func parse(text string, target any) (err error) {
	switch t := target.(type) {
	case *string:
		*t = text
	case *bool:
		*t, err = strconv.ParseBool(text)
	case *int:
		*t, err = strconv.Atoi(text)
	case *float64:
		*t, err = strconv.ParseFloat(text, 64)
	case *time.Duration:
		*t, err = time.ParseDuration(text)
	case *[]string:
		*t = nil
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*t = append(*t, part)
			}
		}
	}
	if err != nil {
		return errors.Newf("invalid value %q", text)
	}
	return nil
}
