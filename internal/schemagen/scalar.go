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
func (s *scalar) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode {
		return errors.Newf("line %d: expected a scalar", n.Line)
	}
	s.Text, s.Line = n.Value, n.Line
	return nil
}

// String returns the text. The templates use it.
func (s scalar) String() string { return s.Text }

// errorf returns an error that is prefixed with the file and the line.
func (s scalar) errorf(path, format string, args ...any) error {
	return errors.Newf("%s:%d: %s", path, s.Line, fmt.Sprintf(format, args...))
}
