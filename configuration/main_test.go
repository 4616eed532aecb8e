package configuration

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the defaults for the seed and the length of the model test.
// Flags on the command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "80", "rapid.checks": "1000"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
