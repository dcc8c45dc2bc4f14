package objectapi_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/objectapi"
)

// lateStore loses the answer to the first write, which takes effect only after the object was
// read back.
type lateStore struct {
	mutex  sync.Mutex
	object api.Object
	late   *api.Object
	writes int
}

func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(s.object)
		if s.late != nil {
			s.apply(*s.late)
			s.late = nil
		}
		return
	}
	var o api.Object
	_ = json.NewDecoder(r.Body).Decode(&o)
	s.writes++
	if s.writes == 1 {
		s.late = &o
		panic(http.ErrAbortHandler)
	}
	if o.Version != s.object.Version {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(fault.New(fault.VersionConflict, "another version").Body(""))
		return
	}
	s.apply(o)
	_ = json.NewEncoder(w).Encode(s.object)
}

func (s *lateStore) apply(o api.Object) {
	o.Version++
	s.object = o
}

// A write whose answer was lost may take effect between the read-back and the second write. The
// second one is refused then, although the object is as it was to be written.
func TestLateWriteIsNoConflict(t *testing.T) {
	s := &lateStore{object: api.Object{Kind: api.ResourceKindModel, Name: "m", Version: 7, Spec: json.RawMessage(`{"weights":"a"}`)}}
	h := httptest.NewServer(s)
	defer h.Close()
	c := objectapi.NewWithClient(h.Client(), h.Listener.Addr().String(), time.Second)
	n, err := c.PutConfirmed(t.Context(), api.Object{Kind: api.ResourceKindModel, Name: "m", Version: 7, Spec: json.RawMessage(`{"weights":"b"}`)})
	if err != nil || n.Version != 8 {
		t.Errorf("got version %d and %v, want the write confirmed at version 8", n.Version, err)
	}
}

// deepSpec is nested more deeply than encoding/json decodes.
var deepSpec = `{"weights":"a","x":` + strings.Repeat("[", 12000) + strings.Repeat("]", 12000) + `}`

// Guards against one object that can't be decoded and hides all others of a list or a watch, here or at peers.
func TestUndecodableObjectHidesNoOther(t *testing.T) {
	object := func(n, spec string) string {
		return `{"kind":"model","name":"` + n + `","version":5,"spec":` + spec + `}`
	}
	a, b := object("a", `{"weights":"a"}`), object("b", `{"weights":"b"}`)
	for _, c := range []struct{ name, odd string }{
		{"nested deeply in its spec", object("o", deepSpec)},
		{"nested in its spec as deeply as can just be decoded", object("o", strings.Repeat("[", 9990)+strings.Repeat("]", 9990))},
		{"nested deeply beside its spec", `{"kind":"model","name":"o","version":5,"x":` + deepSpec + `,"spec":7}`},
		{"nested deeply in place of it", deepSpec},
		{"a version that is too large", `{"kind":"model","name":"o","version":1e400,"spec":{}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/watch") {
					_, _ = io.WriteString(w, `{"changes":[{"object":`+a+`,"version":5},{"object":`+c.odd+`,"version":6},{"object":`+b+`,"version":7}],"version":9}`)
					return
				}
				_, _ = io.WriteString(w, `{"items":[`+a+`,`+c.odd+`,`+b+`],"version":9}`)
			}))
			defer h.Close()
			p := objectapi.NewWithClient(h.Client(), h.Listener.Addr().String(), time.Second)
			kinds := []api.ResourceKind{api.ResourceKindModel}
			l, err := p.List(t.Context(), kinds)
			if err != nil || l.Version != 9 {
				t.Fatalf("list: got version %d and %.200v, want version 9", l.Version, err)
			}
			checkNames(t, "list", l.Items)
			var relayed api.ObjectList
			b, err := json.Marshal(map[string]any{"a": map[string]any{"b": []any{l}}})
			if err != nil || json.Unmarshal(b, new(any)) != nil {
				t.Errorf("relaying the list: got %.200v, want it encoded and decoded", err)
			}
			if b, err = json.Marshal(l); err != nil || json.Unmarshal(b, &relayed) != nil || len(relayed.Items) != 3 {
				t.Errorf("relaying the list: got %d objects and %.200v, want three", len(relayed.Items), err)
			}
			w, err := p.Watch(t.Context(), 1, time.Second, kinds)
			if err != nil || w.Version != 9 {
				t.Fatalf("watch: got version %d and %.200v, want version 9", w.Version, err)
			}
			var changed []api.Object
			for _, x := range w.Changes {
				changed = append(changed, x.Object)
			}
			checkNames(t, "watch", changed)
		})
	}
}

// checkNames checks that the objects a and b are among those read.
func checkNames(t *testing.T, what string, l []api.Object) {
	t.Helper()
	var names []string
	for _, o := range l {
		names = append(names, o.Name)
	}
	if !slices.Contains(names, "a") || !slices.Contains(names, "b") {
		t.Errorf("%s: got %v, want a and b among them", what, names)
	}
}
