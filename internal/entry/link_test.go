package entry

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backend"
	"github.com/wardridge/wardridge/internal/fault"
)

// fakeLink is a network link in a fixed state.
type fakeLink struct {
	turnsAway, streams, calls, overloaded bool
}

func (l fakeLink) TurnsAway() bool     { return l.turnsAway }
func (l fakeLink) AcceptsStream() bool { return l.streams }
func (l fakeLink) AcceptsCall() bool   { return l.calls }
func (l fakeLink) Overloaded() bool    { return l.overloaded }

// A full link must turn callers away before their bodies are read, streams before calls.
func TestFullLinkRefusesUnread(t *testing.T) {
	for _, c := range []struct {
		name         string
		link         fakeLink
		method, path string
		refused      bool
		closes       bool
	}{
		{"room", fakeLink{streams: true, calls: true}, http.MethodPost, PathChat, false, false},
		{"no room for a stream", fakeLink{calls: true}, http.MethodPost, PathChat, true, false},
		{"room for a call", fakeLink{calls: true}, http.MethodPost, PathServices + "/orders", false, false},
		{"no room for a call", fakeLink{}, http.MethodPost, PathServices + "/orders", true, false},
		{"others have room", fakeLink{turnsAway: true}, http.MethodPost, PathChat, true, true},
		{"resumed stream", fakeLink{}, http.MethodGet, PathChat + "/1", false, false},
		{"health", fakeLink{streams: true, calls: true}, http.MethodGet, PathHealth, false, false},
		{"health without room anywhere", fakeLink{}, http.MethodGet, PathHealth, false, false},
		{"health while others have room", fakeLink{turnsAway: true}, http.MethodGet, PathHealth, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := fuzzServer()
			s.Link = c.link
			body := strings.NewReader(`{"model":"none"}`)
			r := httptest.NewRequest(c.method, c.path, body)
			r.Header.Set("Authorization", "Bearer "+fuzzKey)
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			refused := strings.Contains(w.Body.String(), "bandwidth_short")
			if got, want := refused, c.refused; got != want {
				t.Errorf("refused: got %v (%d %s), want %v", got, w.Code, w.Body, want)
			}
			if refused && (body.Len() != 16 || w.Header().Get("Retry-After") == "" || w.Code != http.StatusServiceUnavailable) {
				t.Errorf("refusal: got %d bytes unread, status %d, Retry-After %q; want 16, 503 and a time", body.Len(), w.Code, w.Header().Get("Retry-After"))
			}
			if got, want := w.Header().Get("Connection") == "close", c.closes; got != want {
				t.Errorf("connection closed: got %v, want %v", got, want)
			}
		})
	}
}

// What an overloaded link delays must not count as a failure of a server.
func TestOverloadedLinkBlamesNoServer(t *testing.T) {
	late := fault.Wrap(fault.OutcomeUnknown, os.ErrDeadlineExceeded, "no answer in time")
	broken := fault.Wrap(fault.OutcomeUnknown, os.ErrClosed, "the connection was closed")
	for _, c := range []struct {
		name       string
		err        error
		overloaded bool
		want       api.ServerName
	}{
		{"late", late, false, "b"},
		{"late, overloaded", late, true, "a"},
		{"broken, overloaded", broken, true, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := fuzzServer()
			s.Link = fakeLink{overloaded: c.overloaded}
			s.servers.Declare([]backend.Server{{Name: "a"}, {Name: "b"}})
			s.servers.Pick(time.Now(), []api.ServerName{"a"}, nil)
			s.releaseServer("a", c.err)
			if got := s.servers.Pick(time.Now(), []api.ServerName{"a", "b"}, nil).Name; got != c.want {
				t.Errorf("server of the next call: got %s, want %s", got, c.want)
			}
		})
	}
}
