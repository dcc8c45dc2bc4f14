package objectapi

import (
	"bytes"
	"encoding/json"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/rawjson"
)

// undecodableSpec replaces a spec that can't be decoded. It is valid for no kind of resource, so that the object
// is reported and its last valid version stays in force, and it can be relayed to peers.
const undecodableSpec = `"undecodable"`

// maxSpecDepth bounds how deeply a spec may be nested, so that messages which hold it can be encoded and decoded.
const maxSpecDepth = 1000

// objectList is a list whose objects are decoded separately.
type objectList struct{ api.ObjectList }

// Parse decodes a list.
func (l *objectList) Parse(text []byte) error {
	m, err := rawjson.Members(text)
	if err != nil {
		return err
	}
	items, err := rawjson.Elements(m["items"])
	if err != nil {
		return err
	}
	for _, x := range items {
		l.Items = append(l.Items, parseObject(x))
	}
	return decode(m["version"], &l.Version)
}

// changeList is the answer to a watch, whose changes are decoded separately.
type changeList struct{ api.ChangeList }

// Parse decodes the answer to a watch.
func (l *changeList) Parse(text []byte) error {
	m, err := rawjson.Members(text)
	if err != nil {
		return err
	}
	changes, err := rawjson.Elements(m["changes"])
	if err != nil {
		return err
	}
	for _, x := range changes {
		c, err := parseChange(x)
		if err != nil {
			return err
		}
		l.Changes = append(l.Changes, c)
	}
	return decode(m["version"], &l.Version)
}

func parseChange(text []byte) (api.Change, error) {
	var c api.Change
	m, err := rawjson.Members(text)
	if err != nil {
		return c, err
	}
	c.Object = parseObject(m["object"])
	if err := decode(m["deleted"], &c.Deleted); err != nil {
		return c, err
	}
	return c, decode(m["version"], &c.Version)
}

// parseObject decodes an object. What can't be decoded of it is missing in the result, and then its spec is
// undecodableSpec.
func parseObject(text []byte) api.Object {
	o := api.Object{Spec: json.RawMessage(undecodableSpec)}
	m, err := rawjson.Members(text)
	if err != nil {
		return o
	}
	ok := true
	for n, into := range map[string]any{"kind": &o.Kind, "name": &o.Name, "version": &o.Version} {
		ok = decode(m[n], into) == nil && ok
	}
	if ok && rawjson.Depth(m["spec"]) <= maxSpecDepth && json.Valid(m["spec"]) {
		o.Spec = bytes.Clone(m["spec"])
	}
	return o
}

// decode decodes a value, if there is one.
func decode(text json.RawMessage, into any) error {
	if len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fault.Wrap(fault.BadAnswer, err, "decoding a field of the platform")
	}
	return nil
}
