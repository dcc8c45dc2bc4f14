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
	// EncodeConfig encodes a configuration, Server the entry of a server, and Closure that a
	// failure domain is closed.
	EncodeConfig(c directory.Config) (Entry, error)
	EncodeServer(s roster.Server) (Entry, error)
	EncodeClosure(c roster.Closure) (Entry, error)
	// StoreHandler and Backend serve the interfaces of the store and of a server.
	StoreHandler(e *Endpoint) http.Handler
	ServerHandler(s *Server) http.Handler
	// EncodeCall encodes a call to an entry VM, Ready the question whether it takes
	// callers, and Head decodes the head of an answer.
	EncodeCall(address string, c Call) *http.Request
	EncodeReadyCheck(address string) *http.Request
	DecodeHead(r *http.Response) Head
}
