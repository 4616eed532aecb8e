// Package settings reads the settings of the programs from flags and
// environment variables and checks them. The structs are generated from
// schema/settings.
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

// Binder connects settings to a flag set and the environment. It is not safe
// for concurrent use.
type Binder struct {
	flags   *flag.FlagSet
	checks  []func(lookupEnv func(string) (string, bool), isSet map[string]bool) error
	runtime map[string]func(text string) error // by flag
}

// NewBinder returns a binder that declares its flags on flags.
func NewBinder(flags *flag.FlagSet) *Binder {
	return &Binder{flags: flags, runtime: map[string]func(string) error{}}
}

// Resolve applies environment variables to settings whose flag was not given
// and checks every setting. It returns all errors joined. It is called after
// the flag set has been parsed.
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
	flag, env, help, unit, fallback string
	required                        bool
	runtime                         bool // may change while the program runs
	min, max                        *T
	oneOf                           []string
}

func bound[T value](v T) *T { return &v }

// setting implements flag.Value. A bad value is kept as text and reported by
// check, so that all errors are shown at once.
type setting[T value] struct {
	definition[T]
	target *T
	bad    error
}

func bind[T value](b *Binder, target *T, d definition[T]) {
	s := &setting[T]{definition: d, target: target}
	if d.fallback != "" {
		if err := s.Set(d.fallback); err != nil {
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

// IsBoolFlag lets a boolean flag stand without a value.
func (s *setting[T]) IsBoolFlag() bool {
	_, isBool := any(s.target).(*bool)
	return isBool
}

// Set implements flag.Value; check reports a bad value.
func (s *setting[T]) Set(text string) error {
	s.bad = parse(text, s.target)
	return nil
}

func (s *setting[T]) check(lookupEnv func(string) (string, bool), isSet map[string]bool) error {
	source := "-" + s.flag
	if text, ok := lookupEnv(s.env); ok && !isSet[s.flag] {
		source = s.env
		s.bad = parse(text, s.target)
	}
	if s.bad != nil {
		return errors.Newf("%s: %v", source, s.bad)
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
			return errors.Newf("%q is none of %s", v, strings.Join(s.oneOf, ", "))
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
	// Not a number counts as less than any other value.
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
		return errors.Newf("bad value %q", text)
	}
	return nil
}
