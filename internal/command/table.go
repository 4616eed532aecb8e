package command

import (
	"fmt"
	"slices"
)

// sortedLines formats fields as aligned lines, sorted by name.
func sortedLines(fields map[string]any) []string {
	lines := make([]string, 0, len(fields))
	for name, value := range fields {
		lines = append(lines, fmt.Sprintf("%-20s %v", name, value))
	}
	slices.Sort(lines)
	return lines
}
