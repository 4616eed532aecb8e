package catalog

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/mustardstep/mustardstep/verdict"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

func toJSON(value any) ([]byte, error) { return json.Marshal(value) }

// Expansion holds a call and the items returned by Expand. It is immutable.
type Expansion struct {
	Call  *Call
	Items []json.RawMessage
}

// Expand validates the JSON parameters of a call and returns one item per task.
// Each item is nil if the call has a fixed number of tasks. A failure has the verdict
// NotRun and the code CodeMalformed, CodeInvalidParameters or CodeTooLarge.
func (c *Call) Expand(parameters []byte, maxTasks int) ([]json.RawMessage, *verdict.Error) {
	decoded, err := jsonschema.UnmarshalJSON(bytes.NewReader(parameters))
	if err != nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "the body is not valid JSON: %v", err)
	}
	if c.parameters != nil {
		if err := c.parameters.Validate(decoded); err != nil {
			return nil, verdict.Errorf(verdict.NotRun, verdict.CodeInvalidParameters, "%s", describe(err))
		}
	}
	items, failure := c.items(parameters)
	if failure != nil {
		return nil, failure
	}
	if len(items) > maxTasks {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeTooLarge,
			"the call has %d tasks; the limit is %d", len(items), maxTasks)
	}
	return items, nil
}

func (c *Call) items(parameters []byte) ([]json.RawMessage, *verdict.Error) {
	if c.ForEach == "" {
		return make([]json.RawMessage, c.Count), nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(parameters, &fields); err != nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeInvalidParameters, "the body is not a JSON object")
	}
	var items []json.RawMessage
	if err := json.Unmarshal(fields[c.ForEach], &items); err != nil || len(items) == 0 {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeInvalidParameters,
			"parameter %q must be an array with at least one element", c.ForEach)
	}
	return items, nil
}

// describe formats a validation error as a single line.
func describe(err error) string {
	text := err.Error()
	if _, after, found := strings.Cut(text, "\n"); found {
		text = after
	}
	return strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
}
