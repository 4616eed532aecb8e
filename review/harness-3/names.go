//go:build review3

package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// namesText holds the names of the platform's protocols, a short name and the platform's in each
// line, and settingsFile the settings of a node. A test of the project allows these names in no Go
// file outside of package platform.
var (
	//go:embed names.txt
	namesText string
	//go:embed settings.txt
	settingsFile string
)

var names = parseNames()

func parseNames() map[string]string {
	parsed := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(namesText), "\n") {
		short, name, _ := strings.Cut(line, "\t")
		parsed[short] = name
	}
	return parsed
}

// decodeFields decodes a JSON object into the targets by field name. Missing fields are left as
// they are.
func decodeFields(body io.Reader, targets map[string]any) error {
	fields := map[string]json.RawMessage{}
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		return err
	}
	for name, target := range targets {
		if value, ok := fields[name]; ok {
			if err := json.Unmarshal(value, target); err != nil {
				return err
			}
		}
	}
	return nil
}
