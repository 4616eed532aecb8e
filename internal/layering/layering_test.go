// Package layering checks the dependencies between packages.
package layering

import (
	"go/build"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logicPackages make decisions. They depend only on the events and the time that
// are passed to them, so that daemons, simulations and tests run the same code:
// they must not import network, file, encoding or daemon packages.
var logicPackages = []string{"membership", "submission", "ownership", "configuration", "health", "admission",
	"evacuation", "fleet", "history", "internal/ingresslimit", "intake", "locality", "overload", "routing", "runtimes", "scheduler", "scheduler/schedulertest"}

// forbiddenImports are the import paths that logicPackages must not import. Each
// includes the packages below it.
var forbiddenImports = []string{
	"net", "os", "encoding/", "syscall", "github.com/valyala/", "github.com/tinylib/",
	"github.com/mustardstep/mustardstep/internal/wire", "github.com/mustardstep/mustardstep/internal/api",
	"github.com/mustardstep/mustardstep/internal/peer", "github.com/mustardstep/mustardstep/internal/upstream",
	"github.com/mustardstep/mustardstep/internal/httpfront",
	"github.com/mustardstep/mustardstep/daemon", "github.com/mustardstep/mustardstep/node",
	"github.com/mustardstep/mustardstep/platform", "github.com/mustardstep/mustardstep/store",
}

func TestLogicPackageImports(t *testing.T) {
	for _, name := range logicPackages {
		pkg, err := build.ImportDir("../../"+name, 0)
		require.NoError(t, err)
		for _, imported := range pkg.Imports {
			for _, prefix := range forbiddenImports {
				forbidden := imported == strings.TrimSuffix(prefix, "/") || strings.HasPrefix(imported, strings.TrimSuffix(prefix, "/")+"/")
				require.Falsef(t, forbidden, "%s imports %s", name, imported)
			}
		}
	}
}
