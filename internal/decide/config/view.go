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

// View holds the decoded objects of a store; it does not change once built.
type View struct {
	Version    api.Version
	Models     map[api.ModelName]api.ModelSpec
	Adapters   map[api.AdapterName]api.AdapterSpec
	Workspaces map[api.WorkspaceName]Workspace
	// WorkspaceByKey is indexed by the SHA-256 of a workspace's API key.
	WorkspaceByKey map[string]api.WorkspaceName
	Servers        map[api.ServerName]Server
	Services       map[api.ServiceName]Service
	// Domains holds the declared failure domains; one that is not declared is open.
	Domains map[api.DomainName]api.FailureDomainSpec

	parsed map[Key]parsed
}

// parsed is the decoded spec of one object, and the version that it was decoded from.
type parsed struct {
	version api.Version
	value   any
}

// Decoder decodes a spec into out, checks it against its schema and fills in its defaults.
type Decoder func(k api.ResourceKind, raw json.RawMessage, out any) error

// Build makes the view of a store. An object that has not changed since the view before is not
// decoded again. One whose spec can't be decoded stays as it was in that view, and is returned
// as a problem.
func Build(s *Store, before *View, decode Decoder) (*View, []Problem) {
	v := &View{
		Version:        s.version,
		Models:         map[api.ModelName]api.ModelSpec{},
		Adapters:       map[api.AdapterName]api.AdapterSpec{},
		Workspaces:     map[api.WorkspaceName]Workspace{},
		WorkspaceByKey: map[string]api.WorkspaceName{},
		Servers:        map[api.ServerName]Server{},
		Services:       map[api.ServiceName]Service{},
		Domains:        map[api.DomainName]api.FailureDomainSpec{},
		parsed:         make(map[Key]parsed, len(s.objects)+len(s.retained)),
	}
	var l []Problem
	for _, o := range s.effective() {
		if p := v.parse(o, before, decode); p != nil {
			l = append(l, *p)
		}
	}
	return v, l
}

func (v *View) parse(o api.Object, before *View, decode Decoder) *Problem {
	k := Key{o.Kind, o.Name}
	var last parsed
	if before != nil {
		last = before.parsed[k]
	}
	if last.value != nil && last.version == o.Version {
		v.add(k, last)
		return nil
	}
	x, err := decodeSpec(o, decode)
	if err == nil {
		v.add(k, parsed{version: o.Version, value: x})
		return nil
	}
	if last.value != nil {
		v.add(k, last)
	}
	return &Problem{Key: k, Detail: err.Error()}
}

// decodeSpec decodes an object's spec into the type of its kind.
func decodeSpec(o api.Object, decode Decoder) (any, error) {
	switch o.Kind {
	case api.ResourceKindModel:
		var x api.ModelSpec
		err := decode(o.Kind, o.Spec, &x)
		return x, err
	case api.ResourceKindAdapter:
		var x api.AdapterSpec
		err := decode(o.Kind, o.Spec, &x)
		return x, err
	case api.ResourceKindWorkspace:
		x := Workspace{Name: api.WorkspaceName(o.Name)}
		err := decode(o.Kind, o.Spec, &x.WorkspaceSpec)
		return x, err
	case api.ResourceKindBackendServer:
		x := Server{Name: api.ServerName(o.Name), Version: o.Version}
		err := decode(o.Kind, o.Spec, &x.BackendServerSpec)
		return x, err
	case api.ResourceKindFailureDomain:
		var x api.FailureDomainSpec
		err := decode(o.Kind, o.Spec, &x)
		return x, err
	default:
		x := Service{Name: api.ServiceName(o.Name)}
		err := decode(o.Kind, o.Spec, &x.ServiceSpec)
		return x, err
	}
}

// add adds a decoded object to the map of its kind.
func (v *View) add(k Key, t parsed) {
	v.parsed[k] = t
	switch x := t.value.(type) {
	case api.ModelSpec:
		v.Models[api.ModelName(k.Name)] = x
	case api.AdapterSpec:
		v.Adapters[api.AdapterName(k.Name)] = x
	case Workspace:
		v.Workspaces[x.Name] = x
		if _, ok := v.WorkspaceByKey[x.KeySha256]; !ok {
			// If two workspaces have the same key, it belongs to the first by name.
			v.WorkspaceByKey[x.KeySha256] = x.Name
		}
	case Server:
		v.Servers[x.Name] = x
	case Service:
		v.Services[x.Name] = x
	case api.FailureDomainSpec:
		v.Domains[api.DomainName(k.Name)] = x
	}
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

// AtMostOnce reports whether a call of the service may run at most once. A rule whose path ends
// in /* matches that path and all below it.
func (s Service) AtMostOnce(method, path string) bool {
	for _, r := range s.NotRepeatable {
		if string(r.Method) == method && matchesPath(r.Path, path) {
			return true
		}
	}
	return false
}

func matchesPath(rule, path string) bool {
	if p, ok := strings.CutSuffix(rule, "/*"); ok {
		return path == p || strings.HasPrefix(path, p+"/")
	}
	return rule == path
}

// Draining reports whether a server accepts no new work: operators drain it, or have
// closed its failure domain.
func (v *View) Draining(s Server) bool {
	return s.State == api.ServerStateDraining || v.Domains[s.Domain].State == api.DomainStateClosed
}

// RequiredItems lists the models and adapters that an engine has to have loaded, as
// kind/name@weights.
func (v *View) RequiredItems(s Server) []string {
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
