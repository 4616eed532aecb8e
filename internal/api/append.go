package api

import (
	"encoding/json"
	"strconv"
)

// The functions below append JSON values for the generated AppendJSON methods.

func appendInt[T int | int64](b []byte, v T) []byte { return strconv.AppendInt(b, int64(v), 10) }

func appendRaw(b []byte, v json.RawMessage) []byte {
	if len(v) == 0 {
		return append(b, "null"...)
	}
	return append(b, v...)
}

// appendString appends a JSON string. Text without special characters, such as most
// names and keys, is copied without a call to json.Marshal.
func appendString(b []byte, v string) []byte {
	if !isSafeASCII(v) {
		// Marshal cannot fail on a string.
		quoted, _ := json.Marshal(v)
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, v...)
	return append(b, '"')
}

// isSafeASCII reports whether v is printable ASCII without characters that
// json.Marshal escapes.
func isSafeASCII(v string) bool {
	for i := range len(v) {
		switch c := v[i]; {
		case c < ' ' || c > '~', c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}

// closeObject closes a JSON object and overwrites the comma after its last field.
func closeObject(b []byte) []byte {
	if last := len(b) - 1; b[last] == ',' {
		b[last] = '}'
		return b
	}
	return append(b, '}')
}
