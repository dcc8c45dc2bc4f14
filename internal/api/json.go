package api

import (
	"bytes"
	"encoding/json"
)

// SameJSON reports whether two texts are equal as JSON, regardless of the order of
// fields and of white space. Texts that are not JSON are compared byte by byte.
func SameJSON(a, b json.RawMessage) bool {
	return bytes.Equal(canonical(a), canonical(b))
}

// canonical returns a text with sorted fields and without white space; it returns a
// text that is not JSON unchanged.
func canonical(r json.RawMessage) []byte {
	var v any
	if json.Unmarshal(r, &v) != nil {
		return r
	}
	b, err := json.Marshal(v)
	if err != nil {
		return r
	}
	return b
}
