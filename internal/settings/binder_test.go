package settings

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lamp has one setting of each type.
type lamp struct {
	Name   string
	On     bool
	Count  int
	Ratio  float64
	Delay  time.Duration
	Colour string
	List   []string
}

func (l *lamp) Bind(b *Binder) {
	bind(b, &l.Name, definition[string]{flag: "name", env: "LAMP_NAME", required: true})
	bind(b, &l.On, definition[bool]{flag: "on", env: "LAMP_ON", defaultText: "false"})
	bind(b, &l.Count, definition[int]{flag: "count", env: "LAMP_COUNT", defaultText: "3", min: bound(1), max: bound(10)})
	bind(b, &l.Ratio, definition[float64]{flag: "ratio", env: "LAMP_RATIO", defaultText: "0.5", min: bound(0.0), max: bound(1.0)})
	bind(b, &l.Delay, definition[time.Duration]{flag: "delay", env: "LAMP_DELAY", defaultText: "2s", min: bound(time.Second), max: bound(time.Minute)})
	bind(b, &l.Colour, definition[string]{flag: "colour", env: "LAMP_COLOUR", defaultText: "red", oneOf: []string{"red", "green"}})
	bind(b, &l.List, definition[[]string]{flag: "list", env: "LAMP_LIST"})
}

func resolve(t *testing.T, args []string, env map[string]string) (lamp, error) {
	var l lamp
	flags := flag.NewFlagSet("lamp", flag.ContinueOnError)
	b := NewBinder(flags)
	l.Bind(b)
	require.NoError(t, flags.Parse(args))
	err := b.Resolve(func(name string) (string, bool) {
		value, ok := env[name]
		return value, ok
	})
	return l, err
}

func TestPrecedence(t *testing.T) {
	defaults := lamp{Name: "n", Count: 3, Ratio: 0.5, Delay: 2 * time.Second, Colour: "red"}
	tests := []struct {
		name   string
		args   []string
		env    map[string]string
		change func(*lamp)
	}{
		{"defaults", nil, nil, func(*lamp) {}},
		{"environment overrides default", nil, map[string]string{"LAMP_COUNT": "5", "LAMP_ON": "true", "LAMP_LIST": "a, b,,c"},
			func(l *lamp) { l.Count, l.On, l.List = 5, true, []string{"a", "b", "c"} }},
		{"flag overrides environment", []string{"-count", "7", "-on"}, map[string]string{"LAMP_COUNT": "5", "LAMP_ON": "false"},
			func(l *lamp) { l.Count, l.On = 7, true }},
		{"flag with default value overrides environment", []string{"-count", "3"}, map[string]string{"LAMP_COUNT": "5"}, func(*lamp) {}},
		{"flag overrides invalid environment", []string{"-delay", "1m"}, map[string]string{"LAMP_DELAY": "soon"},
			func(l *lamp) { l.Delay = time.Minute }},
		{"empty environment clears list", []string{}, map[string]string{"LAMP_LIST": ""}, func(*lamp) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			want := defaults
			test.change(&want)
			got, err := resolve(t, append([]string{"-name", "n"}, test.args...), test.env)
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
}

func TestResolveReportsAllErrors(t *testing.T) {
	_, err := resolve(t, []string{"-count", "11", "-ratio", "half", "-colour", "blue"},
		map[string]string{"LAMP_DELAY": "500ms", "LAMP_ON": "maybe"})
	require.EqualError(t, err, "-name: required (flag -name or LAMP_NAME)\n"+
		"LAMP_ON: invalid value \"maybe\"\n"+
		"-count: 11 is above the maximum 10\n"+
		"-ratio: invalid value \"half\"\n"+
		"LAMP_DELAY: 500ms is below the minimum 1s\n"+
		"-colour: \"blue\" is not one of red, green")
}

func TestBoundsAreInclusive(t *testing.T) {
	for _, count := range []string{"1", "10"} {
		_, err := resolve(t, []string{"-name", "n", "-count", count}, nil)
		require.NoError(t, err)
	}
	for _, count := range []string{"0", "11", "-1"} {
		_, err := resolve(t, []string{"-name", "n", "-count", count}, nil)
		require.Error(t, err)
	}
	_, err := resolve(t, []string{"-name", "n", "-ratio", "NaN"}, nil)
	require.ErrorContains(t, err, "-ratio")
}

// Every generated default must lie within its bounds.
func TestDaemonDefaultsAreValid(t *testing.T) {
	var s DaemonProgram
	flags := flag.NewFlagSet("daemon", flag.ContinueOnError)
	b := NewBinder(flags)
	s.Bind(b)
	require.NoError(t, flags.Parse([]string{"-vm", "vm0", "-data-centre", "dc1"}))
	require.NoError(t, b.Resolve(func(string) (string, bool) { return "", false }))
}
