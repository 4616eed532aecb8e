package main

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenMessages = `package: small
path: small
codec: json
imports: [time]
enums:
  - name: Colour
    doc: Colour of a light.
    values:
      - {name: Red, text: red, doc: "Red stops."}
      - {name: Green, text: green, doc: "Green lets pass."}
messages:
  - name: Light
    doc: Light is one light, with a doc comment that is so long that it takes more than one line of text.
    fields:
      - {name: Colour, type: Colour, key: colour, doc: "Colour is shown."}
      - {name: Next, type: "[]*Light", key: next, optional: true, doc: "Next are the following lights."}
      - {name: Raw, type: json.RawMessage, key: raw, doc: "Raw is any value."}
      - {name: Since, type: time.Time, key: since, doc: "Since is the time of the last change."}
`

const goldenSettings = `struct: Light
doc: Light holds the settings of lights.
programs: [mustardstepd, mustardstep-lamp test]
settings:
  - {name: Delay, flag: delay, type: duration, default: 2s, min: 1s, max: 1m, help: "time between changes"}
  - {name: Colour, flag: colour, type: string, one_of: [red, green], required: true, help: "first colour"}
  - {name: Watts, flag: watts, type: float, unit: W, default: 1.5, min: 0, help: "power"}
  - {name: Names, flag: names, type: list, help: "names"}
`

// writeSchema creates a repository that contains only schema files and returns
// its root.
func writeSchema(t *testing.T, messages, settings string) string {
	root := t.TempDir()
	for path, content := range map[string]string{
		"schema/messages/m.yaml": messages, "schema/settings/s.yaml": settings,
	} {
		full := filepath.Join(root, path)
		require.NoError(t, os.MkdirAll(filepath.Dir(full), 0o755))
		require.NoError(t, os.WriteFile(full, []byte(content), 0o644))
	}
	for _, dir := range []string{"small", "internal/settings", "docs"} {
		require.NoError(t, os.MkdirAll(filepath.Join(root, dir), 0o755))
	}
	return root
}

func TestGolden(t *testing.T) {
	root := writeSchema(t, goldenMessages, goldenSettings)
	require.NoError(t, run(root))
	for path, golden := range map[string]string{
		"small/m_gen.go":                    "messages.golden",
		"internal/settings/settings_gen.go": "settings.golden",
		"docs/SETTINGS.md":                  "page.golden",
	} {
		got, err := os.ReadFile(filepath.Join(root, path))
		require.NoError(t, err)
		golden = filepath.Join("testdata", "golden", golden)
		if *update {
			require.NoError(t, os.WriteFile(golden, got, 0o644))
		}
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "%s", path)
	}
}

func TestInvalidDefinitions(t *testing.T) {
	const head = "package: small\npath: small\ncodec: json\nmessages:\n"
	const settings = "struct: S\ndoc: S.\nprograms: [mustardstepd]\nsettings:\n"
	tests := []struct {
		name, messages, settings string
		problems                 []string
	}{
		{
			name:     "duplicate kind",
			messages: head + "  - {name: A, kind: 4, doc: A.}\n  - {name: B, kind: 4, doc: B.}\n",
			problems: []string{"m.yaml:6: B and A share kind 4"},
		},
		{
			name: "unknown field types, all reported",
			messages: head + "  - name: A\n    doc: A.\n    fields:\n" +
				"      - {name: X, type: strnig, key: x, doc: X.}\n" +
				"      - {name: Y, type: '[]B', key: y, doc: Y.}\n" +
				"      - {name: Z, type: other.T, key: z, doc: Z.}\n" +
				"      - {name: W, type: 'int}', key: w, doc: W.}\n",
			problems: []string{
				`m.yaml:8: A.X: unknown type "strnig"`, `m.yaml:9: A.Y: unknown type "[]B"`,
				`m.yaml:10: A.Z: unknown type "other.T"`, `m.yaml:11: A.W: unknown type "int}"`,
			},
		},
		{
			name: "duplicate flag", messages: head,
			settings: settings + "  - {name: A, flag: a, type: int, help: a}\n  - {name: B, flag: a, type: int, help: b}\n",
			problems: []string{"s.yaml:6: flag -a of mustardstepd is already defined in"},
		},
		{
			name: "unknown setting type", messages: head,
			settings: settings + "  - {name: A, flag: a, type: integer, help: a}\n",
			problems: []string{`s.yaml:5: -a: unknown type "integer"`},
		},
		{
			name: "unknown key", messages: head + "  - {name: A, doc: A., colour: red}\n",
			problems: []string{"m.yaml", "line 5", "colour"},
		},
		{
			name: "type that is not a scalar", messages: head + "  - {name: A, doc: A., fields: [{name: X, type: [int], key: x, doc: X.}]}\n",
			problems: []string{"m.yaml", "line 5: expected a scalar"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.settings == "" {
				test.settings = goldenSettings
			}
			err := run(writeSchema(t, test.messages, test.settings))
			require.Error(t, err)
			for _, problem := range test.problems {
				require.ErrorContains(t, err, problem)
			}
		})
	}
}
