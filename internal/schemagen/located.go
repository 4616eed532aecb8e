package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// located is a scalar of a definition file with its line.
type located struct {
	Text string
	Line int
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (l *located) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode {
		return errors.Newf("line %d: expected a scalar", n.Line)
	}
	l.Text, l.Line = n.Value, n.Line
	return nil
}

// String returns the text, for the templates.
func (l located) String() string { return l.Text }

// problem returns an error that names the file and the line.
func (l located) problem(path, format string, args ...any) error {
	return errors.Newf("%s:%d: %s", path, l.Line, fmt.Sprintf(format, args...))
}
