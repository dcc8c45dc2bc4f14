package rawjson

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/wardridge/wardridge/internal/fault"
)

// Members returns the undecoded values of a JSON object by the names of its members; of members with the same
// name, it returns the last one. It fails with BadAnswer if the text is not an object.
func Members(text []byte) (map[string]json.RawMessage, error) {
	m := map[string]json.RawMessage{}
	s := scanner{text: text}
	err := s.list('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		m[name], err = s.value()
		return err
	})
	return m, err
}

// Elements returns the undecoded elements of a JSON array; none of null or of an empty text. It fails with
// BadAnswer if the text is not an array.
func Elements(text []byte) ([]json.RawMessage, error) {
	if x := bytes.TrimSpace(text); len(x) == 0 || string(x) == "null" {
		return nil, nil
	}
	var l []json.RawMessage
	s := scanner{text: text}
	err := s.list('[', ']', func() error {
		v, err := s.value()
		l = append(l, v)
		return err
	})
	return l, err
}

// Depth returns how many objects and arrays of a text stand within each other at most.
func Depth(text []byte) int {
	depth, deepest := 0, 0
	s := scanner{text: text}
	for s.next < len(text) {
		switch text[s.next] {
		case '"':
			s.skipString()
			continue
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
		s.next++
	}
	return deepest
}

// errSyntax is the failure of a text whose strings, brackets and separators don't match.
var errSyntax = fault.New(fault.BadAnswer, "the text is not the expected JSON")

// scanner reads a JSON text. Instead of recursion it counts brackets, so that no depth is too large.
type scanner struct {
	text []byte
	next int
}

// list reads the items between an opening and a closing bracket, which are all of the text.
func (s *scanner) list(opening, closing byte, item func() error) error {
	if !s.take(opening) {
		return errSyntax
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return errSyntax
		}
		if err := item(); err != nil {
			return err
		}
	}
	s.skipSpace()
	if s.next < len(s.text) {
		return errSyntax
	}
	return nil
}

// take skips white space, and a byte if it is next.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if s.next == len(s.text) || s.text[s.next] != c {
		return false
	}
	s.next++
	return true
}

func (s *scanner) skipSpace() {
	for s.next < len(s.text) && isSpace(s.text[s.next]) {
		s.next++
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r'
}

// name reads the name of a member and the colon after it.
func (s *scanner) name() (string, error) {
	v, err := s.value()
	if err != nil {
		return "", err
	}
	n, ok := unquote(v)
	if !ok || !s.take(':') {
		return "", errSyntax
	}
	return n, nil
}

// unquote returns the text of a string, and reports whether the value is one.
func unquote(v json.RawMessage) (string, bool) {
	if v[0] == '"' && bytes.IndexByte(v, '\\') < 0 && utf8.Valid(v) {
		return string(v[1 : len(v)-1]), true
	}
	var n string
	ok := v[0] == '"' && json.Unmarshal(v, &n) == nil
	return n, ok
}

// value reads a value of any kind.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	begin, depth := s.next, 0
	for s.next < len(s.text) {
		switch c := s.text[s.next]; {
		case c == '"':
			if !s.skipString() {
				return nil, errSyntax
			}
		case c == '{' || c == '[':
			depth++
			s.next++
			continue
		case (c == '}' || c == ']') && depth > 0:
			depth--
			s.next++
		case depth == 0:
			s.skipLiteral()
			if s.next == begin {
				return nil, errSyntax
			}
		default:
			s.next++
			continue
		}
		if depth == 0 {
			return s.text[begin:s.next:s.next], nil
		}
	}
	return nil, errSyntax
}

// skipString skips a string, and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.next++; s.next < len(s.text); s.next++ {
		switch s.text[s.next] {
		case '\\':
			s.next++
		case '"':
			s.next++
			return true
		}
	}
	return false
}

// skipLiteral skips a number or a word.
func (s *scanner) skipLiteral() {
	for s.next < len(s.text) {
		switch c := s.text[s.next]; {
		case isSpace(c), c == ',', c == ':', c == '}', c == ']', c == '{', c == '[', c == '"':
			return
		}
		s.next++
	}
}
