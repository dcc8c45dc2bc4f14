package hosted

import (
	"net/http"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Entry is an object to be written to the store.
type Entry struct {
	Kind, Name string
	Spec       []byte
}

// Wire translates between the stand-ins and the wire format of a hosting platform; it has no
// state.
type Wire interface {
	// EncodeConfig, EncodeServer and EncodeClosure encode the objects of a configuration, a
	// backend server and a closed failure domain.
	EncodeConfig(c directory.Config) (Entry, error)
	EncodeServer(s roster.Server) (Entry, error)
	// EncodeForeignServer encodes the entry of a server as another writer may have spoiled it, in a way that turn
	// selects.
	EncodeForeignServer(s roster.Server, turn int) (Entry, error)
	EncodeClosure(c roster.Closure) (Entry, error)
	// StoreHandler and ServerHandler return the HTTP handlers of the store and of a backend
	// server.
	StoreHandler(e *Endpoint) http.Handler
	ServerHandler(s *Server) http.Handler
	// EncodeCall encodes a call to an entry VM, and EncodeReadyCheck its readiness check.
	// DecodeHead decodes the head of an answer.
	EncodeCall(address string, c Call) *http.Request
	EncodeReadyCheck(address string) *http.Request
	DecodeHead(r *http.Response) Head
}
