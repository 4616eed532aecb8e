package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppendJSONEqualsMarshal(t *testing.T) {
	for name, m := range map[string]*TaskRequest{
		"zero": {},
		"full": {Submission: "museum/k", Task: 3, Tasks: 10, Service: "rota-desk", Call: "heat-alert",
			Parameters: json.RawMessage(`{"a":[1,2]}`), Item: json.RawMessage(`"x"`), TimeoutMS: -5, MilliCPU: 1, MemoryMB: 2, Accelerators: 3},
		"empty":   {Parameters: json.RawMessage{}, Item: json.RawMessage{}},
		"quoting": {Submission: "a\"b\\c\n</é\x00\xff&\u2028", Service: "\x7f", Item: json.RawMessage("null")},
	} {
		t.Run(name, func(t *testing.T) {
			want, err := json.Marshal(m)
			require.NoError(t, err)
			require.Equal(t, string(want), string(m.AppendJSON(nil)))
		})
	}
}

func FuzzAppendString(f *testing.F) {
	f.Add("plain")
	f.Add("\x7f\u2028\xff\"")
	f.Fuzz(func(t *testing.T, text string) {
		want, err := json.Marshal(text)
		require.NoError(t, err)
		require.Equal(t, string(want), string(appendString(nil, text)))
	})
}

func BenchmarkTaskRequest(b *testing.B) {
	m := &TaskRequest{Submission: "museum-01/01JABCDEFGHJKMNPQRSTVWXYZ0", Task: 3, Tasks: 10, Service: "rota-desk", Call: "heat-alert",
		Parameters: json.RawMessage(`{"gallery":"east","celsius":31.5,"figures":[{"name":"queen"},{"name":"poet"},{"name":"cook"}]}`),
		Item:       json.RawMessage(`{"name":"queen"}`), TimeoutMS: 20000, MilliCPU: 500, MemoryMB: 256}
	b.Run("marshal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = json.Marshal(m)
		}
	})
	b.Run("append", func(b *testing.B) {
		b.ReportAllocs()
		var buf []byte
		for b.Loop() {
			buf = m.AppendJSON(buf[:0])
		}
	})
}
