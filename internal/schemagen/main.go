// Command schemagen generates Go types, codecs, settings bindings and the
// settings reference from the definitions under schema/.
//
// go generate runs it at the root of the repository. Its output is committed, so
// a build does not need it.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gopkg.in/yaml.v3"
)

func main() {
	if err := run("."); err != nil {
		fmt.Fprintf(os.Stderr, "schemagen: %v\n", err)
		os.Exit(1)
	}
}

func run(root string) error {
	var g errgroup.Group
	g.Go(func() error { return generateMessages(root) })
	g.Go(func() error { return generateSettings(root) })
	return g.Wait()
}

// load decodes the YAML files of a directory. It returns them by path, and the
// paths in order.
func load[T any](dir string) (map[string]*T, []string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, nil, err
	}
	files := make(map[string]*T, len(paths))
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, nil, err
		}
		decoder := yaml.NewDecoder(f)
		decoder.KnownFields(true)
		value := new(T)
		err = decoder.Decode(value)
		f.Close()
		if err != nil {
			return nil, nil, errors.Wrap(err, path)
		}
		files[path] = value
	}
	return files, paths, nil
}
