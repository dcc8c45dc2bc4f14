package config_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
)

var began = time.Unix(1000, 0)

// weights returns a model's weights in force; empty if the model is not in force.
func weights(s *config.Store, name api.ModelName) string {
	v, _ := config.Build(s, nil, plain)
	return v.Models[name].Weights
}

func list(v api.Version, l ...api.Object) api.ObjectList {
	return api.ObjectList{Version: v, Items: l}
}

func change(v api.Version, o api.Object) api.ChangeList {
	o.Version = v
	return api.ChangeList{Version: v, Changes: []api.Change{{Version: v, Object: o}}}
}

func removed(v api.Version, name string) api.ChangeList {
	return api.ChangeList{Version: v, Changes: []api.Change{{Version: v, Deleted: true, Object: model(name, v, `{}`)}}}
}

// Changes that the platform has accepted must stay in force after a restore from a backup that
// lacks them. The weights are "1" since version 30 and "2" since 45; the backup is of 40.
func TestAcceptedChangesOutlastRestore(t *testing.T) {
	v := api.NewVersion
	first, second := model("m", v(1, 30), `{"weights":"1"}`), model("m", v(1, 45), `{"weights":"2"}`)
	restored := list(v(2, 40), first)
	tests := []struct {
		name     string
		do       func(s *config.Store)
		want     string
		retained int
	}{
		{"a change that the backup lacks", func(s *config.Store) { s.Replace(began, restored) }, "2", 1},
		{"retention time is over", func(s *config.Store) {
			s.Replace(began, restored)
			s.Expire(began.Add(31 * time.Second))
		}, "1", 0},
		{"written again after the restore", func(s *config.Store) {
			s.Replace(began, restored)
			s.Apply(change(v(2, 41), model("m", 0, `{"weights":"3"}`)))
		}, "3", 0},
		{"written again before the list", func(s *config.Store) {
			s.Replace(began, list(v(2, 41), model("m", v(2, 41), `{"weights":"3"}`)))
		}, "3", 0},
		{"removed in the later era", func(s *config.Store) {
			s.Replace(began, restored)
			s.Apply(removed(v(2, 41), "m"))
		}, "", 0},
		{"an object that the backup lacks", func(s *config.Store) { s.Replace(began, list(v(2, 20))) }, "2", 1},
		{"removed, but still in the backup", func(s *config.Store) {
			s.Apply(removed(v(1, 50), "m"))
			s.Replace(began, restored)
		}, "", 1},
		{"removed without a watch, but still in the backup", func(s *config.Store) {
			s.Replace(began, list(v(1, 50)))
			s.Replace(began, restored)
		}, "", 1},
		{"restored twice", func(s *config.Store) {
			s.Replace(began, restored)
			s.Replace(began.Add(time.Second), list(v(3, 38), first))
		}, "2", 1},
		{"a late list of the earlier era", func(s *config.Store) {
			s.Replace(began, restored)
			s.Replace(began, list(v(1, 60), model("m", v(1, 60), `{"weights":"late"}`)))
		}, "2", 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := config.New()
			s.Replace(began, list(v(1, 31), first))
			s.Apply(change(v(1, 45), second))
			c.do(s)
			if got := weights(s, "m"); got != c.want || s.Retained() != c.retained {
				t.Errorf("got weights %q with %d retained, want %q with %d", got, s.Retained(), c.want, c.retained)
			}
		})
	}
}

func TestRetainedObjectsReachPeers(t *testing.T) {
	v := api.NewVersion
	a := config.New()
	a.Replace(began, list(v(1, 45), model("m", v(1, 45), `{"weights":"2"}`), model("n", v(1, 44), `{"weights":"2"}`)))
	a.Replace(began, list(v(2, 40), model("m", v(1, 30), `{"weights":"1"}`)))
	b := config.New()
	b.Replace(began, list(v(2, 40), model("m", v(1, 30), `{"weights":"1"}`)))
	b.Replace(began.Add(10*time.Second), a.List(began.Add(10*time.Second)))
	if x, y := weights(b, "m"), weights(b, "n"); x != "2" || y != "2" || b.Retained() != 2 {
		t.Errorf("got %q and %q with %d retained, want both as peers have them", x, y, b.Retained())
	}
	b.Apply(change(v(2, 41), model("m", 0, `{"weights":"3"}`)))
	b.Apply(removed(v(2, 42), "n"))
	l := a.List(began.Add(11 * time.Second))
	l.Version = v(2, 42)
	l.Items = []api.Object{model("m", v(2, 41), `{"weights":"3"}`)}
	b.Replace(began.Add(11*time.Second), l)
	if x, y := weights(b, "m"), weights(b, "n"); x != "3" || y != "" {
		t.Errorf("after operators wrote: got %q and %q, want what they wrote", x, y)
	}
	c := config.New()
	c.Replace(began, a.List(began.Add(20*time.Second)))
	if c.Expire(began.Add(9 * time.Second)); c.Retained() != 2 {
		t.Errorf("before the peer's time is over: got %d retained, want 2", c.Retained())
	}
	if c.Expire(began.Add(11 * time.Second)); c.Retained() != 0 {
		t.Errorf("after the peer's time is over: got %d retained, want none", c.Retained())
	}
}
