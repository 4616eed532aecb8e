package catalog

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"gopkg.in/yaml.v3"
)

// fileVersion is the supported version of the services file.
const fileVersion = 1

// Problem is one error in a services file.
type Problem struct {
	Line, Column int
	Message      string
}

// String formats the problem as line:column: message.
func (p Problem) String() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message) }

// Problems is the error for an invalid services file. It lists all problems by line
// and column.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse parses a services file. Its error is of type Problems.
func Parse(data []byte) (*Catalog, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, syntaxProblems(err)
	}
	p := &parser{}
	c := Empty()
	if len(document.Content) == 0 {
		return nil, Problems{{1, 1, "the file is empty"}}
	}
	p.catalog(document.Content[0], c)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return a.Column - b.Column
		})
		return nil, p.problems
	}
	return c, nil
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

func syntaxProblems(err error) Problems {
	line, message := 1, err.Error()
	if m := yamlLine.FindStringSubmatch(message); m != nil {
		fmt.Sscan(m[1], &line)
		message = m[2]
	}
	return Problems{{line, 1, message}}
}

type parser struct{ problems Problems }

func (p *parser) fail(n *yaml.Node, format string, args ...any) {
	p.problems = append(p.problems, Problem{n.Line, n.Column, fmt.Sprintf(format, args...)})
}

// fields parses a mapping and passes each value to the function of its key. It
// reports unknown keys, duplicate keys and missing required keys.
func (p *parser) fields(n *yaml.Node, known map[string]func(*yaml.Node), required ...string) {
	if n.Kind != yaml.MappingNode {
		p.fail(n, "expected a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		read := known[key.Value]
		switch {
		case read == nil:
			p.fail(key, "unknown field %q", key.Value)
		case seen[key.Value]:
			p.fail(key, "duplicate field %q", key.Value)
		default:
			read(value)
		}
		seen[key.Value] = true
	}
	for _, name := range required {
		if !seen[name] {
			p.fail(n, "field %q is missing", name)
		}
	}
}

// entries parses a non-empty mapping from names to values.
func (p *parser) entries(n *yaml.Node, what string, read func(name string, value *yaml.Node)) {
	if n.Kind != yaml.MappingNode || len(n.Content) == 0 {
		p.fail(n, "expected at least one %s", what)
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		switch {
		case !namePattern.MatchString(key.Value):
			p.fail(key, "%q is not a valid %s name: use lower-case letters, digits and hyphens", key.Value, what)
		case seen[key.Value]:
			p.fail(key, "duplicate %s %q", what, key.Value)
		default:
			read(key.Value, value)
		}
		seen[key.Value] = true
	}
}

func (p *parser) catalog(n *yaml.Node, c *Catalog) {
	p.fields(n, map[string]func(*yaml.Node){
		"version": func(v *yaml.Node) {
			var version int
			if p.decode(v, &version) && version != fileVersion {
				p.fail(v, "version %d is not supported; this release reads version %d", version, fileVersion)
			}
		},
		"services": func(v *yaml.Node) {
			p.entries(v, "service", func(name string, value *yaml.Node) {
				c.services[name] = p.service(name, value)
			})
		},
	}, "version", "services")
}

func (p *parser) service(name string, n *yaml.Node) *Service {
	s := &Service{Name: name, Calls: map[string]*Call{}}
	p.fields(n, map[string]func(*yaml.Node){
		"calls": func(v *yaml.Node) {
			p.entries(v, "call", func(call string, value *yaml.Node) {
				s.Calls[call] = p.call(name, call, value)
			})
		},
	}, "calls")
	return s
}

func (p *parser) call(service, name string, n *yaml.Node) *Call {
	c := &Call{Service: service, Name: name, Priority: Normal, Deadline: 30 * time.Second, Retries: 3}
	p.fields(n, map[string]func(*yaml.Node){
		"idempotent": func(v *yaml.Node) { p.decode(v, &c.Idempotent) },
		"priority":   func(v *yaml.Node) { c.Priority = p.priority(v) },
		"deadline":   func(v *yaml.Node) { c.Deadline = p.duration(v, time.Millisecond, time.Hour) },
		"retries":    func(v *yaml.Node) { c.Retries = int(p.integer(v, 0, 100)) },
		"parameters": func(v *yaml.Node) { c.parameters = p.schema(v) },
		"tasks":      func(v *yaml.Node) { p.tasks(v, c) },
	}, "idempotent", "tasks")
	return c
}

func (p *parser) tasks(n *yaml.Node, c *Call) {
	p.fields(n, map[string]func(*yaml.Node){
		"for_each": func(v *yaml.Node) { p.decode(v, &c.ForEach) },
		"count":    func(v *yaml.Node) { c.Count = int(p.integer(v, 1, 10_000)) },
		"duration": func(v *yaml.Node) { c.DeclaredDuration = p.duration(v, time.Millisecond, time.Hour) },
		"size": func(v *yaml.Node) {
			p.fields(v, map[string]func(*yaml.Node){
				"milli_cpu":    func(v *yaml.Node) { c.Size.MilliCPU = p.integer(v, 0, 1_000_000) },
				"memory_mb":    func(v *yaml.Node) { c.Size.MemoryMB = p.integer(v, 0, 100_000_000) },
				"accelerators": func(v *yaml.Node) { c.Size.Accelerators = p.integer(v, 0, 1_000) },
			})
		},
	})
	if n.Kind == yaml.MappingNode && (c.ForEach == "") == (c.Count == 0) {
		p.fail(n, "exactly one of for_each and count is required")
	}
}

func (p *parser) decode(n *yaml.Node, target any) bool {
	if err := n.Decode(target); err != nil {
		p.fail(n, "%q is not a %T", n.Value, target)
		return false
	}
	return true
}

func (p *parser) integer(n *yaml.Node, min, max int64) int64 {
	var v int64
	if n.Decode(&v) != nil {
		p.fail(n, "%q is not an integer", n.Value)
		return min
	}
	if v < min || v > max {
		p.fail(n, "%d is out of range: %d to %d", v, min, max)
		return min
	}
	return v
}

func (p *parser) duration(n *yaml.Node, min, max time.Duration) time.Duration {
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		p.fail(n, "%q is not a duration such as 250ms or 2s", n.Value)
		return min
	}
	if d < min || d > max {
		p.fail(n, "%v is out of range: %v to %v", d, min, max)
		return min
	}
	return d
}

func (p *parser) priority(n *yaml.Node) Priority {
	i := slices.Index(priorityNames, n.Value)
	if i < 0 {
		p.fail(n, "%q is not one of %s", n.Value, strings.Join(priorityNames, ", "))
		return Normal
	}
	return Priority(i)
}

// schema compiles the JSON Schema of a call's parameters.
func (p *parser) schema(n *yaml.Node) *jsonschema.Schema {
	var value any
	if err := n.Decode(&value); err != nil {
		p.fail(n, "%v", err)
		return nil
	}
	document, err := toJSON(value)
	if err != nil {
		p.fail(n, "parameters are not a JSON value: %v", err)
		return nil
	}
	const name = "parameters.json"
	compiler := jsonschema.NewCompiler()
	decoded, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err == nil {
		err = compiler.AddResource(name, decoded)
	}
	var schema *jsonschema.Schema
	if err == nil {
		schema, err = compiler.Compile(name)
	}
	if err != nil {
		p.fail(n, "parameters are not a valid JSON Schema: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
		return nil
	}
	return schema
}
