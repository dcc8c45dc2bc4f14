package hosted

import (
	"net/http"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Entry is an object as it is written to the store.
type Entry struct {
	Kind, Name string
	Spec       []byte
}

// Wire translates between the stand-ins and a hosting platform's messages; it
// keeps nothing.
type Wire interface {
	// Config encodes a configuration, Server the entry of a server, and Closure that a
	// failure domain is closed.
	Config(c directory.Config) (Entry, error)
	Server(s roster.Server) (Entry, error)
	Closure(c roster.Closure) (Entry, error)
	// Store and Backend serve the interfaces of the store and of a server.
	Store(e *Endpoint) http.Handler
	Backend(s *Server) http.Handler
	// Request encodes a call to an entry VM, Ready the question whether it takes
	// callers, and Head decodes the head of an answer.
	Request(address string, c Call) *http.Request
	Ready(address string) *http.Request
	Head(r *http.Response) Head
}
