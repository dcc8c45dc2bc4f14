package api

import (
	"bytes"
	"encoding/json"
)

// SameJSON reports whether two texts are the same JSON, whatever the order of
// their fields.
func SameJSON(a, b json.RawMessage) bool {
	return bytes.Equal(canonical(a), canonical(b))
}

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
