package roster

import (
	"strconv"

	"github.com/wardridge/wardridge/internal/api"
)

// IncarnationName names a life of a backend server. Where servers don't tell when they
// started, an id stands for one life.
func IncarnationName(id api.ServerID, born api.Birth) api.ServerName {
	if born == 0 {
		return api.ServerName(id)
	}
	return api.ServerName(string(id) + "@" + strconv.FormatInt(int64(born), 10))
}

// SupersededBy reports whether a birth is that of a later life of the same server. Births
// that are not told conclude nothing.
func (s Server) SupersededBy(born api.Birth) bool {
	return s.Born != 0 && born > s.Born
}

// incarnations knows the newest life of each server.
type incarnations map[api.ServerID]Server

// stale reports whether a server's entry is that of an earlier life: a write that
// was held back may take effect after its writer has started again.
func (l incarnations) stale(s Server) bool {
	n, ok := l[s.ID]
	return ok && s.SupersededBy(n.Born)
}

// observe notes a life and gives the one that it has ended, if it is the first word
// of it.
func (l incarnations) observe(s Server) (Server, bool) {
	n, ok := l[s.ID]
	l[s.ID] = s
	return n, ok && n.SupersededBy(s.Born)
}

// remove drops a life that is gone, unless a later one is known.
func (l incarnations) remove(s Server) {
	if n, ok := l[s.ID]; ok && n.Name == s.Name {
		delete(l, s.ID)
	}
}
