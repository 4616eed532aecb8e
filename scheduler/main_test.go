package scheduler_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seeds of the model test. Flags on the command line take
// precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
