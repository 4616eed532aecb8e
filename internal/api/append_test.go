package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppendJSONEqualsMarshal(t *testing.T) {
	for name, m := range map[string]*StartRequest{
		"zero": {Spec: json.RawMessage("null")},
		"full": {Upstream: "u-1", ProcessStart: 1_700_000_000_000, Token: 7, Job: "museum/k#1.2", Task: 3, Attempt: 10, UntilMS: -5,
			Spec: json.RawMessage(`{"a":[1,2]}`), Item: json.RawMessage(`"x"`)},
		"empty":   {Spec: json.RawMessage(`{}`), Item: json.RawMessage{}},
		"quoting": {Upstream: "a\"b\\c\n</é\x00\xff&\u2028", Job: "\x7f", Spec: json.RawMessage("1"), Item: json.RawMessage("null")},
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

func BenchmarkStartRequest(b *testing.B) {
	m := &StartRequest{Upstream: "casablanca-rota-desk-07", Token: 7, Job: "museum-01/01JABCDEFGHJKMNPQRSTVWXYZ0#1.2", Task: 3, Attempt: 1,
		Spec: json.RawMessage(`{"gallery":"east","celsius":31.5,"figures":[{"name":"queen"},{"name":"poet"},{"name":"cook"}]}`),
		Item: json.RawMessage(`{"name":"queen"}`), UntilMS: 20000}
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
