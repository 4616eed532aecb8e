package catalog

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

func TestExamples(t *testing.T) {
	desk, err := Parse(examples.RotaDesk)
	require.NoError(t, err)
	alert := desk.Lookup("rota-desk", "heat-alert")
	require.Equal(t, Urgent, alert.Priority)
	require.True(t, alert.Idempotent)
	require.Equal(t, 20*time.Second, alert.Deadline)
	require.Equal(t, "figures", alert.ForEach)
	require.False(t, desk.Lookup("rota-desk", "shift-swap").Idempotent)
	require.Nil(t, desk.Lookup("rota-desk", "none"))
	require.Nil(t, desk.Lookup("none", "heat-alert"))
	kits, err := Parse(examples.KitDesk)
	require.NoError(t, err)
	for _, call := range []string{"batch-check", "dispatch-booking", "mould-slot"} {
		require.NotNil(t, kits.Lookup("kit-desk", call))
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	const file = `version: 1
colour: red
services:
  Desk:
    calls: {}
  desk:
    calls:
      alert:
        idempotent: maybe
        priority: high
        deadline: soon
        retries: 101
        parameters: {type: strnig}
        tasks:
          for_each: figures
          count: 2
          size: {milli_cpu: -1, gpu: 1}
      swap:
        retries: 1
        retries: 2
        deadline: 2h
        tasks: []
  desk: {}
`
	_, err := Parse([]byte(file))
	var problems Problems
	require.ErrorAs(t, err, &problems)
	var places []string
	for _, p := range problems {
		places = append(places, p.String())
	}
	for i, want := range []string{
		`2:1: unknown field "colour"`,
		`4:3: "Desk" is not a valid service name`,
		`9:21: "maybe" is not a`,
		`10:19: "high" is not one of batch, normal, urgent`,
		`11:19: "soon" is not a duration`,
		`12:18: 101 is out of range: 0 to 100`,
		`13:21: parameters are not a valid JSON Schema`,
		`15:11: exactly one of for_each and count is required`,
		`17:29: -1 is out of range: 0 to 1000000`,
		`17:33: unknown field "gpu"`,
		`19:9: field "idempotent" is missing`,
		`20:9: duplicate field "retries"`,
		`21:19: 2h0m0s is out of range: 1ms to 1h0m0s`,
		`22:16: expected a mapping`,
		`23:3: duplicate service "desk"`,
	} {
		require.Greater(t, len(places), i, "%v", places)
		require.Contains(t, places[i], want)
	}
	require.Len(t, places, 15, "%v", places)
}

func TestParseInvalidFiles(t *testing.T) {
	for name, test := range map[string]struct{ file, problem string }{
		"empty":           {"", "1:1: the file is empty"},
		"no mapping":      {"[]", "1:1: expected a mapping"},
		"syntax":          {"version: 1\nservices: {", "did not find"},
		"missing version": {"services: {a: {calls: {b: {idempotent: true, tasks: {count: 1}}}}}", `1:1: field "version" is missing`},
		"later version":   {"version: 2\nservices: {a: {calls: {b: {idempotent: true, tasks: {count: 1}}}}}", "1:10: version 2 is not supported"},
		"no tasks":        {"version: 1\nservices: {a: {calls: {b: {idempotent: true, tasks: {}}}}}", "exactly one of for_each and count is required"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.file))
			require.ErrorContains(t, err, test.problem)
		})
	}
}

func TestExpand(t *testing.T) {
	desk, err := Parse(examples.RotaDesk)
	require.NoError(t, err)
	alert, swap := desk.Lookup("rota-desk", "heat-alert"), desk.Lookup("rota-desk", "shift-swap")
	items, failure := alert.Expand([]byte(`{"gallery":"e","figures":[{"a":1},{}]}`), 2)
	require.Nil(t, failure)
	require.Len(t, items, 2)
	require.JSONEq(t, `{"a":1}`, string(items[0]))
	items, failure = swap.Expand([]byte(`{"from":"a","to":"b","shift":"c"}`), 2)
	require.Nil(t, failure)
	require.Len(t, items, 2)
	for body, code := range map[string]verdict.Code{
		`{`:                                    verdict.CodeMalformed,
		`[]`:                                   verdict.CodeInvalidParameters,
		`{"figures":[{}]}`:                     verdict.CodeInvalidParameters,
		`{"gallery":"e","figures":7}`:          verdict.CodeInvalidParameters,
		`{"gallery":"e","figures":[{},{},{}]}`: verdict.CodeTooLarge,
	} {
		_, failure := alert.Expand([]byte(body), 2)
		require.NotNil(t, failure, body)
		require.Equal(t, code, failure.Code, body)
		require.Equal(t, verdict.NotRun, failure.Verdict)
		require.NotContains(t, failure.Reason, "\n")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(examples.RotaDesk)
	f.Add(examples.KitDesk)
	f.Add([]byte("version: 1\nservices: {a: {calls: {b: {idempotent: true, parameters: {$ref: '#'}, tasks: {count: 1}}}}}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			var problems Problems
			require.ErrorAs(t, err, &problems)
			require.NotEmpty(t, problems)
			return
		}
		for _, service := range c.Services() {
			for _, call := range service.Calls {
				_, _ = call.Expand([]byte(`{}`), 10)
			}
		}
	})
}
