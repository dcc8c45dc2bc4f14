package resource

import (
	"fmt"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
)

// DanglingReferences describes each reference to a resource that is not among the
// objects.
func DanglingReferences(l []api.Object) []string {
	v, _ := config.Build(config.FromList(api.ObjectList{Version: 1, Items: l}), nil, Decode)
	var out []string
	addMissing := func(k api.ResourceKind, n string, to api.ResourceKind, name string) {
		out = append(out, fmt.Sprintf("%s %s names %s %s, which is not declared", k, n, to, name))
	}
	for _, o := range l {
		switch o.Kind {
		case api.ResourceKindAdapter:
			if m := v.Adapters[api.AdapterName(o.Name)].Model; !has(v.Models, m) {
				addMissing(o.Kind, o.Name, api.ResourceKindModel, string(m))
			}
		case api.ResourceKindWorkspace:
			w := v.Workspaces[api.WorkspaceName(o.Name)]
			reportMissing(w.Models, v.Models, func(n string) { addMissing(o.Kind, o.Name, api.ResourceKindModel, n) })
			reportMissing(w.Adapters, v.Adapters, func(n string) { addMissing(o.Kind, o.Name, api.ResourceKindAdapter, n) })
			reportMissing(w.Services, v.Services, func(n string) { addMissing(o.Kind, o.Name, api.ResourceKindService, n) })
		case api.ResourceKindBackendServer:
			b := v.Servers[api.ServerName(o.Name)]
			reportMissing(b.Models, v.Models, func(n string) { addMissing(o.Kind, o.Name, api.ResourceKindModel, n) })
			reportMissing(b.Adapters, v.Adapters, func(n string) { addMissing(o.Kind, o.Name, api.ResourceKindAdapter, n) })
		case api.ResourceKindService:
			reportMissing(v.Services[api.ServiceName(o.Name)].Servers, v.Servers, func(n string) { addMissing(o.Kind, o.Name, api.ResourceKindBackendServer, n) })
		}
	}
	return out
}

func has[K comparable, V any](m map[K]V, k K) bool {
	_, ok := m[k]
	return ok
}

// reportMissing calls report for each name that is not a key of m.
func reportMissing[K ~string, V any](names []K, m map[K]V, report func(string)) {
	for _, n := range names {
		if !has(m, n) {
			report(string(n))
		}
	}
}
