package api

import (
	"encoding/json"
	"strconv"
)

// The functions below append values to JSON for the generated AppendJSON
// methods.

func appendInt[T int | int64](b []byte, v T) []byte { return strconv.AppendInt(b, int64(v), 10) }

func appendRaw(b []byte, v json.RawMessage) []byte {
	if len(v) == 0 {
		return append(b, "null"...)
	}
	return append(b, v...)
}

// appendString appends a quoted string. Plain text, as in names and keys, is
// copied.
func appendString(b []byte, v string) []byte {
	if !plain(v) {
		// A string always has a JSON form.
		quoted, _ := json.Marshal(v)
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, v...)
	return append(b, '"')
}

// plain tells whether a text stands in JSON as it is.
func plain(v string) bool {
	for i := range len(v) {
		switch c := v[i]; {
		case c < ' ' || c > '~', c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}

// closeObject ends an object whose last field is followed by a comma.
func closeObject(b []byte) []byte {
	if last := len(b) - 1; b[last] == ',' {
		b[last] = '}'
		return b
	}
	return append(b, '}')
}
