package config_test

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/fault"
)

func plain(_ api.ResourceKind, raw json.RawMessage, out any) error {
	if string(raw) == `{"bad":1}` {
		return fault.New(fault.InvalidResource, "bad")
	}
	return json.Unmarshal(raw, out)
}

func model(name string, v api.Version, spec string) api.Object {
	return api.Object{Kind: api.ResourceKindModel, Name: name, Version: v, Spec: json.RawMessage(spec)}
}

func TestStaleListIsDropped(t *testing.T) {
	s := config.New()
	s.Replace(time.Time{}, api.ObjectList{Version: 5, Items: []api.Object{model("m", 5, `{"weights":"new"}`)}})
	if got := s.Replace(time.Time{}, api.ObjectList{Version: 4}); got {
		t.Errorf("Replace with an older list: got %v, want false", got)
	}
	v, _ := config.Build(s, nil, plain)
	if got := v.Models["m"].Weights; got != "new" {
		t.Errorf("weights: got %q, want new", got)
	}
}

func TestUnreadableObjectKeepsLastGoodSpec(t *testing.T) {
	s := config.New()
	s.Replace(time.Time{}, api.ObjectList{Version: 1, Items: []api.Object{model("m", 1, `{"weights":"1"}`), model("n", 1, `{"weights":"1"}`)}})
	v, _ := config.Build(s, nil, plain)
	s.Apply(api.ChangeList{Version: 3, Changes: []api.Change{
		{Version: 2, Object: model("m", 2, `{"bad":1}`)},
		{Version: 3, Object: model("n", 3, `{"weights":"2"}`)},
	}})
	w, p := config.Build(s, v, plain)
	if len(p) != 1 || p[0].Key.Name != "m" {
		t.Fatalf("problems: got %v, want one of m", p)
	}
	if got := w.Models["m"].Weights; got != "1" {
		t.Errorf("m: got %q, want 1", got)
	}
	if got := w.Models["n"].Weights; got != "2" {
		t.Errorf("n: got %q, want 2", got)
	}
}

// Operators drain a server itself, or its whole failure domain by closing the domain.
func TestDraining(t *testing.T) {
	s := config.New()
	object := func(k api.ResourceKind, name, spec string) api.Object {
		return api.Object{Kind: k, Name: name, Version: 1, Spec: json.RawMessage(spec)}
	}
	s.Replace(time.Time{}, api.ObjectList{Version: 1, Items: []api.Object{
		object(api.ResourceKindBackendServer, "a", `{"domain":"hall-a","state":"active"}`),
		object(api.ResourceKindBackendServer, "b", `{"domain":"hall-b","state":"active"}`),
		object(api.ResourceKindBackendServer, "c", `{"domain":"hall-c","state":"draining"}`),
		object(api.ResourceKindBackendServer, "d", `{"domain":"hall-d","state":"active"}`),
		object(api.ResourceKindFailureDomain, "hall-a", `{"state":"closed"}`),
		object(api.ResourceKindFailureDomain, "hall-b", `{"state":"open"}`),
	}})
	v, _ := config.Build(s, nil, plain)
	for n, want := range map[api.ServerName]bool{"a": true, "b": false, "c": true, "d": false} {
		if got := v.Draining(v.Servers[n]); got != want {
			t.Errorf("%s: got draining %v, want %v", n, got, want)
		}
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := config.New()
		last := api.Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v := api.Version(rapid.IntRange(0, 30).Draw(t, "version"))
			o := model("m", v, `{}`)
			if rapid.Bool().Draw(t, "list") {
				s.Replace(time.Time{}, api.ObjectList{Version: v, Items: []api.Object{o}})
			} else {
				s.Apply(api.ChangeList{Version: v, Changes: []api.Change{{Version: v, Object: o}}})
			}
			if s.Version() < last {
				t.Fatalf("version: was %d, got %d, want no lower one", last, s.Version())
			}
			last = s.Version()
			if l := s.List(time.Time{}).Items; len(l) == 1 && l[0].Version > last {
				t.Fatalf("object: got version %d, want at most the store's %d", l[0].Version, last)
			}
		}
	})
}

func TestAtMostOnce(t *testing.T) {
	s := config.Service{ServiceSpec: api.ServiceSpec{NotRepeatable: []api.CallRule{
		{Method: api.CallRuleMethodPOST, Path: "/orders"},
		{Method: api.CallRuleMethodPOST, Path: "/confirm/*"},
	}}}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/orders", true},
		{"GET", "/orders", false},
		{"POST", "/orders/7", false},
		{"POST", "/confirm/7", true},
		{"POST", "/confirmed", false},
	}
	for _, c := range tests {
		if got := s.AtMostOnce(c.method, c.path); got != c.want {
			t.Errorf("%s %s: got %v, want %v", c.method, c.path, got, c.want)
		}
	}
}
