package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// The distinctive names of the platform's protocols stand in names.txt: in the project's Go
// code only package platform may have them, and these stand-ins don't use that package.
//
//go:embed names.txt
var nameList string

//go:embed settings.txt
var settingsTemplate string

var protocolNames = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(nameList) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), "\t")
		names[key] = name
	}
	return names
}()

// protocolName returns the name that the platform gives to something. An unknown key is a
// defect of this program.
func protocolName(key string) string {
	name := protocolNames[key]
	if name == "" {
		panic("no name for " + key)
	}
	return name
}

// decodeField decodes one field of a JSON object, which may be missing.
func decodeField(body []byte, key string, value any) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return err
	}
	raw, present := fields[protocolName(key)]
	if !present {
		return nil
	}
	return json.Unmarshal(raw, value)
}
