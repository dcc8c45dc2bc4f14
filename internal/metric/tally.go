package metric

import (
	"encoding/json"
	"maps"
	"sync"
)

// Label is the name of a tally; it states by what the counts are grouped.
type Label string

// Labels of the tallies of a set.
const (
	// ByWorkspace counts requests by workspace and outcome.
	ByWorkspace Label = "requests_by_workspace"
	// ByServer counts attempts by backend server and outcome.
	ByServer Label = "attempts_by_server"
	// RefusedByWorkspace and RefusedByRoute count refusals by type.
	RefusedByWorkspace Label = "refused_by_workspace"
	RefusedByRoute     Label = "refused_by_route"
	// LateByWorkspace and LateByRoute count late answers by the target that they missed.
	LateByWorkspace Label = "late_by_workspace"
	LateByRoute     Label = "late_by_route"
	// CutOffByService counts requests by outcome that arrived while their service was reached through peers.
	CutOffByService Label = "cut_off_by_service"
	// EngineClasses and EngineRoles hold the current numbers of engines by service.
	EngineClasses Label = "engine_classes"
	EngineRoles   Label = "engine_roles"
)

// tally holds counts by name and outcome.
type tally struct {
	mutex sync.Mutex
	names boundedMap[map[string]int64]
}

// workspaceLabels, routeLabels and serviceLabels are the labels whose names are workspaces, routes
// and services.
var (
	workspaceLabels = []Label{ByWorkspace, RefusedByWorkspace, LateByWorkspace}
	routeLabels     = []Label{RefusedByRoute, LateByRoute}
	serviceLabels   = []Label{EngineClasses, EngineRoles, CutOffByService}
)

func newTally(limit int) *tally {
	return &tally{names: newBoundedMap(limit, func() map[string]int64 { return map[string]int64{} })}
}

func (t *tally) count(name, outcome string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.names.get(name)[outcome]++
}

// set replaces the counts of a name.
func (t *tally) set(name string, counts map[string]int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := t.names.get(name)
	clear(m)
	maps.Copy(m, counts)
}

// retain drops the names for which keep returns false, except otherNames.
func (t *tally) retain(keep func(name string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.names.retain(keep)
}

// String returns all counts as JSON, as expvar requires.
func (t *tally) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	b, err := json.Marshal(t.names.all)
	if err != nil {
		return "{}"
	}
	return string(b)
}
