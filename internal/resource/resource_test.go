package resource_test

import (
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/resource"
)

const good = `kind: model
name: m
spec:
  weights: "1"
---
kind: adapter
name: a
spec: {model: m, weights: "1"}
`

func TestParse(t *testing.T) {
	l, err := resource.Parse("f.yaml", []byte(good))
	if err != nil || len(l) != 2 {
		t.Fatalf("got %v, %v, want two resources", l, err)
	}
	if got := resource.DanglingReferences(l); len(got) != 0 {
		t.Errorf("dangling references: got %v, want none", got)
	}
	if got := resource.DanglingReferences(l[1:]); len(got) != 1 {
		t.Errorf("dangling references without the model: got %v, want one", got)
	}
}

func TestParseErrorsNameTheMistake(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", good + "---\nkind: model\nname: x\nspec: {weights: a, colour: red}\n", "colour"},
		{"line of the resource", good + "---\nkind: model\nname: x\nspec: {}\n", "f.yaml:10"},
		{"unknown kind", "kind: modl\nname: x\nspec: {}\n", "one of 'model'"},
		{"kind that the system manages", "kind: lease\nname: x\nspec: {}\n", "lease is not a kind"},
		{"bad name", "kind: model\nname: X Y\nspec: {weights: a}\n", "name"},
		{"wrong type", "kind: model\nname: x\nspec: {weights: 1}\n", "weights"},
		{"not YAML", "kind: [", "f.yaml"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			_, err := resource.Parse("f.yaml", []byte(c.text))
			if !fault.Has(err, fault.InvalidResource) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want invalid_resource with %q", err, c.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("---\n---\n{}")
	f.Fuzz(func(t *testing.T, s string) {
		l, err := resource.Parse("f", []byte(s))
		if err != nil {
			return
		}
		for _, o := range l {
			if o.Kind == "" || o.Kind == api.ResourceKindLease {
				t.Errorf("got kind %q accepted, want it rejected", o.Kind)
			}
		}
	})
}
