package main

import (
	_ "embed"
	"strings"
)

// Distinctive names of the platform's protocols stand in names.txt and settings.txt: in the
// project's Go code only package platform has them, and these stand-ins do not use that package.
//
//go:embed names.txt
var nameList string

// settingsTemplate is the settings file of a process, with the verbs of package fmt.
//
//go:embed settings.txt
var settingsTemplate string

var names = func() map[string]string {
	all := map[string]string{}
	for line := range strings.Lines(nameList) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "\t")
		all[key] = value
	}
	return all
}()

// name returns the platform's name of something. An unknown key is a defect of this program.
func name(key string) string {
	value, known := names[key]
	if !known {
		panic("no name for " + key)
	}
	return value
}
