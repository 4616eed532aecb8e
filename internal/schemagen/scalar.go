package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// scalar is a YAML scalar with its line in the schema file.
type scalar struct {
	Text string
	Line int
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (l *scalar) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode {
		return errors.Newf("line %d: expected a scalar", n.Line)
	}
	l.Text, l.Line = n.Value, n.Line
	return nil
}

// String returns the text. The templates use it.
func (l scalar) String() string { return l.Text }

// errorf returns an error that is prefixed with the file and the line.
func (l scalar) errorf(path, format string, args ...any) error {
	return errors.Newf("%s:%d: %s", path, l.Line, fmt.Sprintf(format, args...))
}
