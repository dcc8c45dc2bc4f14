package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/schema"
)

// rootDefinition is the schema's definition of the whole file.
const rootDefinition = "Settings"

// Load reads a settings file and validates it.
func Load(path string) (api.Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return api.Settings{}, fault.Wrap(fault.UnreadableFile, err, "reading the settings")
	}
	return Parse(path, b)
}

// Parse validates the text of a settings file. An error contains the given name of the
// file, the line and the values that are allowed there.
func Parse(name string, b []byte) (api.Settings, error) {
	var s api.Settings
	f, err := ini.LoadSources(ini.LoadOptions{}, b)
	if err != nil {
		return s, fault.Wrap(fault.InvalidSettings, err, name)
	}
	d, err := typedSections(name, string(b), f)
	if err != nil {
		return s, err
	}
	j, err := json.Marshal(d)
	if err != nil {
		return s, fault.Wrap(fault.Internal, err, "encoding the settings")
	}
	err = schema.Decode(schema.SettingsFile, rootDefinition, j, &s)
	var e *schema.Error
	if errors.As(err, &e) {
		return s, schemaError(name, string(b), e)
	}
	return s, err
}

// section maps the keys of one section to their typed values.
type section map[string]any

func typedSections(name, text string, f *ini.File) (map[string]section, error) {
	d := map[string]section{}
	types := sectionProperties()
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			if k := s.Keys(); len(k) > 0 {
				return nil, errorAt(name, text, "", k[0].Name(), "a key has to be in a section")
			}
			continue
		}
		p, ok := types[s.Name()]
		if !ok {
			return nil, errorAt(name, text, s.Name(), "", "unknown section; allowed are "+joinNames(schema.Properties(schema.SettingsFile, rootDefinition)))
		}
		m := section{}
		for _, k := range s.Keys() {
			q, ok := findProperty(p, k.Name())
			if !ok {
				return nil, errorAt(name, text, s.Name(), k.Name(), "unknown key; allowed are "+joinNames(p))
			}
			v, err := parseValue(q, k.Value())
			if err != nil {
				return nil, errorAt(name, text, s.Name(), k.Name(), err.Error()+"; "+DescribeAllowed(q))
			}
			m[k.Name()] = v
		}
		d[s.Name()] = m
	}
	return d, nil
}

// sectionProperties returns the keys that the schema defines in each section.
func sectionProperties() map[string][]schema.Property {
	m := map[string][]schema.Property{}
	for _, p := range schema.Properties(schema.SettingsFile, rootDefinition) {
		m[p.Name] = schema.Properties(schema.SettingsFile, p.Ref)
	}
	return m
}

func findProperty(l []schema.Property, n string) (schema.Property, bool) {
	for _, p := range l {
		if p.Name == n {
			return p, true
		}
	}
	return schema.Property{}, false
}

func joinNames(l []schema.Property) string {
	n := make([]string, 0, len(l))
	for _, p := range l {
		n = append(n, p.Name)
	}
	return strings.Join(n, ", ")
}

// parseValue converts the text of a key to the type that the schema defines.
func parseValue(p schema.Property, s string) (any, error) {
	switch p.Type {
	case "integer":
		n, err := strconv.Atoi(s)
		if err != nil {
			return nil, fault.New(fault.InvalidSettings, strconv.Quote(s)+" is not a whole number")
		}
		return n, nil
	case "number":
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return nil, fault.New(fault.InvalidSettings, strconv.Quote(s)+" is not a number")
		}
		return n, nil
	case "boolean":
		switch s {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return nil, fault.New(fault.InvalidSettings, strconv.Quote(s)+" is neither true nor false")
	default:
		return s, nil
	}
}

// DescribeAllowed describes the values that a key may have.
func DescribeAllowed(p schema.Property) string {
	switch {
	case len(p.Allowed) > 0:
		l := make([]string, 0, len(p.Allowed))
		for _, v := range p.Allowed {
			l = append(l, fmt.Sprint(v))
		}
		return "allowed are " + strings.Join(l, ", ")
	case p.Minimum != nil && p.Maximum != nil:
		return fmt.Sprintf("allowed are %v to %v", p.Minimum, p.Maximum)
	case p.Minimum != nil:
		return fmt.Sprintf("allowed is %v or more", p.Minimum)
	case p.Type == "integer":
		return "allowed is a whole number"
	case p.Type == "number":
		return "allowed is a number"
	case p.Type == "boolean":
		return "allowed are true and false"
	default:
		return "allowed is a text"
	}
}

func schemaError(name, text string, e *schema.Error) error {
	p := e.Problems[0]
	var s, k string
	if len(p.Path) > 0 {
		s = p.Path[0]
	}
	detail := p.Detail
	if len(p.Path) > 1 {
		k = p.Path[1]
		if q, ok := findProperty(sectionProperties()[s], k); ok {
			detail += "; " + DescribeAllowed(q)
		}
	}
	return errorAt(name, text, s, k, detail)
}

func errorAt(name, text, section, key, detail string) error {
	at := section
	if key != "" {
		at = strings.TrimPrefix(section+"."+key, ".")
	}
	where := fmt.Sprintf("%s:%d", name, findLine(text, section, key))
	if at != "" {
		where += ": " + at
	}
	return fault.New(fault.InvalidSettings, where+": "+detail)
}

// findLine returns the line number of a key or a section, for error messages. For a
// missing key it returns the line of the section.
func findLine(text, section, key string) int {
	at, in := 1, ""
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			in = strings.Trim(l, "[] ")
			if in == section {
				at = i + 1
			}
			continue
		}
		k, _, _ := strings.Cut(l, "=")
		if in == section && key != "" && strings.TrimSpace(k) == key {
			return i + 1
		}
	}
	return at
}
