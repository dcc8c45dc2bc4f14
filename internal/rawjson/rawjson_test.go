package rawjson_test

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/rawjson"
)

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"none", " [ ] ", nil},
		{"null", "null", nil},
		{"nothing", "", nil},
		{"all kinds", `[1,"a,]\"\\",{"b":[2,{}]} , [3],true ,nan]`, []string{"1", `"a,]\"\\"`, `{"b":[2,{}]}`, "[3]", "true", "nan"}},
		{"nested deeply", "[7," + deep + ",8]", []string{"7", deep, "8"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := rawjson.Elements([]byte(c.text))
			var got []string
			for _, x := range l {
				got = append(got, string(x))
			}
			if err != nil || !slices.Equal(got, c.want) {
				t.Errorf("got %.100q and %v, want %.100q", got, err, c.want)
			}
		})
	}
	for _, text := range []string{"[", "[1", "[1,]", "[,1]", "[1 2]", "[1]]", "{}", "7", `["a]`, `["a\`, "[{]", "[}"} {
		if l, err := rawjson.Elements([]byte(text)); err == nil {
			t.Errorf("%s: got %s, want a failure", text, l)
		}
	}
}

func TestMembers(t *testing.T) {
	m, err := rawjson.Members([]byte(` {"a" : 1, "b\u0063":{"d":[]},"a":"2" } `))
	if err != nil || len(m) != 2 || string(m["a"]) != `"2"` || string(m["bc"]) != `{"d":[]}` {
		t.Errorf("got %s and %v, want the last value of each member", m, err)
	}
	for _, text := range []string{"", "{", `{"a"}`, `{"a":}`, `{a:1}`, `{"a":1,}`, `{"a":1 "b":2}`, "[]", "null", `{"a":1}}`} {
		if m, err := rawjson.Members([]byte(text)); err == nil {
			t.Errorf("%s: got %s, want a failure", text, m)
		}
	}
}

func TestDepth(t *testing.T) {
	for text, want := range map[string]int{"": 0, "7": 0, `"[{"`: 0, `{"a":[],"b":[{}]}`: 3, "[[": 2, `["\"[",{}]`: 2, `"\`: 0} {
		if got := rawjson.Depth([]byte(text)); got != want {
			t.Errorf("%s: got %d, want %d", text, got, want)
		}
	}
}

// A text that encoding/json accepts is split into the values that it decodes.
func FuzzSplit(f *testing.F) {
	for _, s := range []string{`{"items":[{"a":1},7,null,"x\"]"],"more":true}`, `[[],{},"\\",-1e9]`, `{"a":1,"a":2}`, ` 7 `} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		members, objectErr := rawjson.Members(b)
		elements, arrayErr := rawjson.Elements(b)
		if !json.Valid(b) {
			return
		}
		var m map[string]json.RawMessage
		if b := bytes.TrimSpace(b); b[0] == '{' {
			if err := json.Unmarshal(b, &m); err != nil || objectErr != nil || !maps.EqualFunc(members, m, equal) {
				t.Errorf("got %q and %v, want %q", members, objectErr, m)
			}
		} else if objectErr == nil {
			t.Errorf("%q: got members %q, want a failure", b, members)
		}
		var l []json.RawMessage
		if b := bytes.TrimSpace(b); b[0] == '[' {
			if err := json.Unmarshal(b, &l); err != nil || arrayErr != nil || !slices.EqualFunc(elements, l, equal) {
				t.Errorf("got %q and %v, want %q", elements, arrayErr, l)
			}
		}
	})
}

func equal(a, b json.RawMessage) bool { return bytes.Equal(a, b) }
