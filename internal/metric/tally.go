package metric

import (
	"encoding/json"
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
)

// tally holds counts by name and outcome.
type tally struct {
	mutex sync.Mutex
	names boundedMap[map[string]int64]
}

func newTally() *tally {
	return &tally{names: newBoundedMap(func() map[string]int64 { return map[string]int64{} })}
}

func (t *tally) count(name, outcome string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.names.get(name)[outcome]++
}

// retain drops the names for which keep returns false, except otherNames.
func (t *tally) retain(keep func(name string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := range t.names.all {
		if n != otherNames && !keep(n) {
			delete(t.names.all, n)
		}
	}
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
