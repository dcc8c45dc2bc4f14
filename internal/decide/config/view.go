package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/wardridge/wardridge/internal/api"
)

// Workspace is a declared workspace.
type Workspace struct {
	Name api.WorkspaceName
	api.WorkspaceSpec
}

// Server is a declared backend server.
type Server struct {
	Name    api.ServerName
	Version api.Version
	api.BackendServerSpec
}

// Service is a declared plain service.
type Service struct {
	Name api.ServiceName
	api.ServiceSpec
}

// View is the typed form of a store; it does not change once built.
type View struct {
	Version    api.Version
	Models     map[api.ModelName]api.ModelSpec
	Adapters   map[api.AdapterName]api.AdapterSpec
	Workspaces map[api.WorkspaceName]Workspace
	Keys       map[string]api.WorkspaceName
	Servers    map[api.ServerName]Server
	Services   map[api.ServiceName]Service

	good map[Key]json.RawMessage
}

// Decoder checks a spec against its schema and fills its defaults in.
type Decoder func(k api.ResourceKind, raw json.RawMessage, out any) error

// Build makes the view of a store. A spec that can't be read is taken as it
// was in the view before, and is listed as a problem.
func Build(s *Store, before *View, decode Decoder) (*View, []Problem) {
	v := &View{
		Version:    s.version,
		Models:     map[api.ModelName]api.ModelSpec{},
		Adapters:   map[api.AdapterName]api.AdapterSpec{},
		Workspaces: map[api.WorkspaceName]Workspace{},
		Keys:       map[string]api.WorkspaceName{},
		Servers:    map[api.ServerName]Server{},
		Services:   map[api.ServiceName]Service{},
		good:       map[Key]json.RawMessage{},
	}
	var l []Problem
	for _, o := range sorted(s.objects) {
		if p := v.take(o, before, decode); p != nil {
			l = append(l, *p)
		}
	}
	return v, l
}

func (v *View) take(o api.Object, before *View, decode Decoder) *Problem {
	k := Key{o.Kind, o.Name}
	err := v.add(o, o.Spec, decode)
	if err == nil {
		v.good[k] = o.Spec
		return nil
	}
	if before != nil && before.good[k] != nil {
		// It was read before, so it can be read again.
		_ = v.add(o, before.good[k], decode)
		v.good[k] = before.good[k]
	}
	return &Problem{Key: k, Detail: err.Error()}
}

func (v *View) add(o api.Object, raw json.RawMessage, decode Decoder) error {
	switch o.Kind {
	case api.ResourceKindModel:
		return put(v.Models, api.ModelName(o.Name), raw, o.Kind, decode)
	case api.ResourceKindAdapter:
		return put(v.Adapters, api.AdapterName(o.Name), raw, o.Kind, decode)
	case api.ResourceKindWorkspace:
		return v.addWorkspace(o, raw, decode)
	case api.ResourceKindBackendServer:
		x := Server{Name: api.ServerName(o.Name), Version: o.Version}
		if err := decode(o.Kind, raw, &x.BackendServerSpec); err != nil {
			return err
		}
		v.Servers[x.Name] = x
	case api.ResourceKindService:
		x := Service{Name: api.ServiceName(o.Name)}
		if err := decode(o.Kind, raw, &x.ServiceSpec); err != nil {
			return err
		}
		v.Services[x.Name] = x
	}
	return nil
}

func (v *View) addWorkspace(o api.Object, raw json.RawMessage, decode Decoder) error {
	x := Workspace{Name: api.WorkspaceName(o.Name)}
	if err := decode(o.Kind, raw, &x.WorkspaceSpec); err != nil {
		return err
	}
	v.Workspaces[x.Name] = x
	if _, ok := v.Keys[x.KeySha256]; !ok {
		// Of two workspaces with one key the first by name has it.
		v.Keys[x.KeySha256] = x.Name
	}
	return nil
}

func put[K comparable, S any](m map[K]S, name K, raw json.RawMessage, k api.ResourceKind, decode Decoder) error {
	var s S
	if err := decode(k, raw, &s); err != nil {
		return err
	}
	m[name] = s
	return nil
}

// MayUse reports whether a workspace may use a model with an adapter.
func (w Workspace) MayUse(m api.ModelName, a api.AdapterName) bool {
	if !slices.Contains(w.Models, m) {
		return false
	}
	return a == "" || slices.Contains(w.Adapters, a)
}

// MayCall reports whether a workspace may call a plain service.
func (w Workspace) MayCall(s api.ServiceName) bool {
	return slices.Contains(w.Services, s)
}

// Once reports whether a call of the service may run at most once; a rule's
// path ending in /* covers everything below it.
func (s Service) Once(method, path string) bool {
	for _, r := range s.NotRepeatable {
		if string(r.Method) == method && covers(r.Path, path) {
			return true
		}
	}
	return false
}

func covers(rule, path string) bool {
	if p, ok := strings.CutSuffix(rule, "/*"); ok {
		return path == p || strings.HasPrefix(path, p+"/")
	}
	return rule == path
}

// Items lists what an engine has to have loaded, as kind/name@weights.
func (v *View) Items(s Server) []string {
	var l []string
	for _, m := range s.Models {
		if x, ok := v.Models[m]; ok {
			l = append(l, api.Item(api.ResourceKindModel, string(m), x.Weights))
		}
	}
	for _, a := range s.Adapters {
		if x, ok := v.Adapters[a]; ok {
			l = append(l, api.Item(api.ResourceKindAdapter, string(a), x.Weights))
		}
	}
	return l
}

func sorted(m map[Key]api.Object) []api.Object {
	l := make([]api.Object, 0, len(m))
	for _, o := range m {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b api.Object) int {
		if a.Kind != b.Kind {
			return strings.Compare(string(a.Kind), string(b.Kind))
		}
		return strings.Compare(a.Name, b.Name)
	})
	return l
}

// Engines lists the declared engines in order of name.
func (v *View) Engines() []Server {
	var l []Server
	for _, s := range v.Servers {
		if s.Type == api.ServerTypeEngine {
			l = append(l, s)
		}
	}
	slices.SortFunc(l, func(a, b Server) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return l
}
