// Command schemagen writes Go types, codecs, settings bindings and reference
// pages from the definitions under schema/.
//
// It is run from the root of the repository by go generate. Its output is
// committed, so a build does not need it.
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

// load decodes every YAML file of a directory, in order of name.
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
