package schema

import (
	"bytes"
	"embed"
	"encoding/json"
	"io/fs"
	"sort"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"sigs.k8s.io/yaml"
)

//go:embed *.yaml
var sources embed.FS

// ResourceFile is the schema file that defines resources.
const ResourceFile = "resource.yaml"

// SettingsFile is the schema file that defines settings.
const SettingsFile = "settings.yaml"

// Problem is one violation of the schema: the path in the document and what is wrong there.
type Problem struct {
	Path   []string
	Detail string
}

// Error is returned for a document that violates its schema.
type Error struct {
	Problems []Problem
}

// Error returns all problems, each with its path.
func (e *Error) Error() string {
	l := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		l = append(l, p.String())
	}
	return strings.Join(l, "; ")
}

// String returns the path and the detail of the problem.
func (p Problem) String() string {
	if len(p.Path) == 0 {
		return p.Detail
	}
	return strings.Join(p.Path, ".") + ": " + p.Detail
}

// catalogue holds the parsed schema files by name, and the compiler that resolves
// references between them. err is set if the files could not be loaded.
type catalogue struct {
	docs     map[string]map[string]any
	compiler *jsonschema.Compiler
	err      error
}

var loadCatalogue = sync.OnceValue(func() *catalogue {
	c := &catalogue{docs: map[string]map[string]any{}, compiler: jsonschema.NewCompiler()}
	n, err := fs.Glob(sources, "*.yaml")
	if err != nil {
		c.err = err
		return c
	}
	for _, f := range n {
		if err := c.addSource(f); err != nil {
			c.err = err
			return c
		}
	}
	return c
})

func (c *catalogue) addSource(f string) error {
	b, err := sources.ReadFile(f)
	if err != nil {
		return err
	}
	j, err := yaml.YAMLToJSON(b)
	if err != nil {
		return err
	}
	d, err := jsonschema.UnmarshalJSON(bytes.NewReader(j))
	if err != nil {
		return err
	}
	m, ok := d.(map[string]any)
	if !ok {
		return &Error{Problems: []Problem{{Path: []string{f}, Detail: "not an object"}}}
	}
	// Only the code generator needs the $id. Without it the compiler resolves references by
	// file name.
	delete(m, "$id")
	c.docs[f] = m
	return c.compiler.AddResource(f, m)
}

// compiled caches the compiled schemas of definitions by URL.
var compiled sync.Map

func (c *catalogue) compile(file, def string) (*jsonschema.Schema, error) {
	u := file + "#/$defs/" + def
	if s, ok := compiled.Load(u); ok {
		return s.(*jsonschema.Schema), nil
	}
	compileMutex.Lock()
	defer compileMutex.Unlock()
	s, err := c.compiler.Compile(u)
	if err != nil {
		return nil, err
	}
	compiled.Store(u, s)
	return s, nil
}

// compileMutex guards the compiler, which is not safe for concurrent use.
var compileMutex sync.Mutex

// Decode validates raw JSON against a definition, sets the defaults of absent properties and
// stores the result in out. It returns an *Error for a document that violates the schema.
func Decode(file, def string, raw []byte, out any) error {
	c := loadCatalogue()
	if c.err != nil {
		return c.err
	}
	s, err := c.compile(file, def)
	if err != nil {
		return err
	}
	d, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return &Error{Problems: []Problem{{Detail: "malformed JSON: " + err.Error()}}}
	}
	if err := s.Validate(d); err != nil {
		return toError(err)
	}
	c.fillDefaults(file, c.definition(file, def), d)
	b, err := json.Marshal(d)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

func (c *catalogue) definition(file, name string) map[string]any {
	d, _ := c.docs[file]["$defs"].(map[string]any)
	m, _ := d[name].(map[string]any)
	return m
}

// fillDefaults sets the defaults of absent properties, also in nested objects.
func (c *catalogue) fillDefaults(file string, s map[string]any, doc any) {
	m, ok := doc.(map[string]any)
	if !ok {
		return
	}
	p, _ := s["properties"].(map[string]any)
	for k, v := range p {
		q, _ := v.(map[string]any)
		if _, ok := m[k]; !ok {
			v, ok := q["default"]
			if !ok {
				continue
			}
			m[k] = cloneDefault(v)
		}
		f, t := c.resolveRef(file, q)
		c.fillDefaults(f, t, m[k])
	}
}

// cloneDefault copies a default value, since the defaults of nested properties are set in
// the copy.
func cloneDefault(v any) any {
	m, ok := v.(map[string]any)
	if !ok {
		return v
	}
	n := make(map[string]any, len(m))
	for k, x := range m {
		n[k] = cloneDefault(x)
	}
	return n
}

// resolveRef returns the definition that s refers to and its file, or s itself if it is not
// a reference.
func (c *catalogue) resolveRef(file string, s map[string]any) (string, map[string]any) {
	r, ok := s["$ref"].(string)
	if !ok {
		return file, s
	}
	f, n, _ := strings.Cut(r, "#/$defs/")
	if f == "" {
		f = file
	}
	return f, c.definition(f, n)
}

// toError converts a validation error into an *Error with sorted problems.
func toError(err error) error {
	v, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return err
	}
	e := &Error{}
	collectProblems(v, e)
	sort.SliceStable(e.Problems, func(i, j int) bool {
		return e.Problems[i].String() < e.Problems[j].String()
	})
	return e
}

// collectProblems adds the innermost causes of a validation error to e.
func collectProblems(v *jsonschema.ValidationError, e *Error) {
	if len(v.Causes) == 0 {
		d := v.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		e.Problems = append(e.Problems, Problem{Path: v.InstanceLocation, Detail: d})
		return
	}
	for _, c := range v.Causes {
		collectProblems(c, e)
	}
}

// Property describes one property of a definition, for error messages and generated pages.
type Property struct {
	Name        string
	Type        string
	Description string
	Default     any
	Allowed     []any
	Minimum     any
	Maximum     any
	Ref         string
}

// Properties returns the properties of a definition, sorted by name.
func Properties(file, def string) []Property {
	c := loadCatalogue()
	p, _ := c.definition(file, def)["properties"].(map[string]any)
	l := make([]Property, 0, len(p))
	for k, v := range p {
		l = append(l, c.property(file, k, v.(map[string]any)))
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

func (c *catalogue) property(file, name string, s map[string]any) Property {
	_, t := c.resolveRef(file, s)
	p := Property{Name: name, Default: s["default"]}
	p.Description, _ = s["description"].(string)
	p.Type, _ = t["type"].(string)
	p.Allowed, _ = t["enum"].([]any)
	p.Minimum = firstNonNil(s["minimum"], t["minimum"])
	p.Maximum = firstNonNil(s["maximum"], t["maximum"])
	if r, ok := s["$ref"].(string); ok {
		_, p.Ref, _ = strings.Cut(r, "#/$defs/")
	}
	return p
}

func firstNonNil(l ...any) any {
	for _, v := range l {
		if v != nil {
			return v
		}
	}
	return nil
}
