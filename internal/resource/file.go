package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"go.yaml.in/yaml/v3"
	jsonyaml "sigs.k8s.io/yaml"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/schema"
)

// definitions maps each kind that operators declare to its schema definition.
var definitions = map[api.ResourceKind]string{
	api.ResourceKindModel:         "ModelSpec",
	api.ResourceKindAdapter:       "AdapterSpec",
	api.ResourceKindWorkspace:     "WorkspaceSpec",
	api.ResourceKindBackendServer: "BackendServerSpec",
	api.ResourceKindService:       "ServiceSpec",
	api.ResourceKindFailureDomain: "FailureDomainSpec",
}

// Decode validates the spec of a kind that operators declare, fills in defaults and
// stores the result in out.
func Decode(k api.ResourceKind, raw json.RawMessage, out any) error {
	d, ok := definitions[k]
	if !ok {
		return fault.New(fault.InvalidResource, string(k)+" is not a kind that operators declare")
	}
	return schema.Decode(schema.ResourceFile, d, raw, out)
}

// Load reads and validates a YAML file of one or more resources; "-" is standard
// input.
func Load(path string) ([]api.Object, error) {
	b, err := readInput(path)
	if err != nil {
		return nil, fault.Wrap(fault.UnreadableFile, err, "reading "+path)
	}
	return Parse(path, b)
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// Parse reads and validates the resources in the text of a file; name stands for
// the file in messages. An error names the line at which the resource begins.
func Parse(name string, b []byte) ([]api.Object, error) {
	var l []api.Object
	d := yaml.NewDecoder(bytes.NewReader(b))
	for {
		var n yaml.Node
		err := d.Decode(&n)
		if errors.Is(err, io.EOF) {
			return l, nil
		}
		if err != nil {
			return nil, fault.Wrap(fault.InvalidResource, err, name)
		}
		if len(n.Content) == 0 || n.Content[0].Tag == "!!null" {
			continue
		}
		o, err := decodeObject(&n)
		if err != nil {
			return nil, fault.New(fault.InvalidResource, fmt.Sprintf("%s:%d: %s", name, n.Content[0].Line, err))
		}
		l = append(l, o)
	}
}

func decodeObject(n *yaml.Node) (api.Object, error) {
	var o api.Object
	b, err := yaml.Marshal(n)
	if err != nil {
		return o, err
	}
	j, err := jsonyaml.YAMLToJSON(b)
	if err != nil {
		return o, err
	}
	if err := schema.Decode(schema.ResourceFile, "Object", j, &o); err != nil {
		return o, err
	}
	return o, Check(o)
}

// Check validates the spec of one resource.
func Check(o api.Object) error {
	var v any
	if err := Decode(o.Kind, o.Spec, &v); err != nil {
		return fault.Wrap(fault.InvalidResource, err, string(o.Kind)+" "+o.Name)
	}
	return nil
}

// FormatYAML returns a resource as YAML that can be edited and applied.
func FormatYAML(o api.Object) string {
	b, err := jsonyaml.Marshal(o)
	if err != nil {
		return ""
	}
	return string(b)
}
