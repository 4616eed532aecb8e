package catalog

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// Part is the section of a services file that describes one call.
type Part struct {
	Service, Call string
	// Text is the YAML of the call.
	Text string
}

// Split validates a services file and returns its calls, sorted by service and call
// name. Its error is of type Problems.
func Split(data []byte) ([]Part, error) {
	if _, err := Parse(data); err != nil {
		return nil, err
	}
	var file struct {
		Services map[string]struct {
			Calls map[string]yaml.Node `yaml:"calls"`
		} `yaml:"services"`
	}
	if err := yaml.Unmarshal(data, &file); err != nil {
		return nil, syntaxProblems(err)
	}
	var parts []Part
	for service, s := range file.Services {
		for call, node := range s.Calls {
			text, err := encodeNode(&node)
			if err != nil {
				return nil, Problems{{node.Line, node.Column, err.Error()}}
			}
			parts = append(parts, Part{service, call, text})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		if a.Service != b.Service {
			return strings.Compare(a.Service, b.Service)
		}
		return strings.Compare(a.Call, b.Call)
	})
	return parts, nil
}

func encodeNode(node *yaml.Node) (string, error) {
	var text bytes.Buffer
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(2)
	err := encoder.Encode(node)
	return text.String(), err
}

// Join builds a services file from parts, which must be sorted by service and
// call name.
func Join(parts []Part) []byte {
	var file bytes.Buffer
	fmt.Fprintf(&file, "version: %d\nservices:\n", fileVersion)
	service := ""
	for _, part := range parts {
		if part.Service != service {
			service = part.Service
			fmt.Fprintf(&file, "  %s:\n    calls:\n", service)
		}
		fmt.Fprintf(&file, "      %s:\n", part.Call)
		for line := range strings.Lines(part.Text) {
			fmt.Fprintf(&file, "        %s", line)
		}
	}
	return file.Bytes()
}

// ParsePart parses one call. Its error is of type Problems, with line numbers
// relative to the part.
func ParsePart(part Part) (*Call, error) {
	const header = 5 // lines that Join puts before the text of the first part
	c, err := Parse(Join([]Part{part}))
	if problems, bad := err.(Problems); bad {
		for i := range problems {
			problems[i].Line = max(1, problems[i].Line-header)
		}
		return nil, problems
	}
	return c.Lookup(part.Service, part.Call), nil
}

// FromCalls returns a catalog of the given calls.
func FromCalls(calls []*Call) *Catalog {
	c := Empty()
	for _, call := range calls {
		s := c.services[call.Service]
		if s == nil {
			s = &Service{Name: call.Service, Calls: map[string]*Call{}}
			c.services[call.Service] = s
		}
		s.Calls[call.Name] = call
	}
	return c
}
