package roster

import (
	"strconv"

	"github.com/wardridge/wardridge/internal/api"
)

// IncarnationName is the unique name of one incarnation of a backend server. For a
// server that does not report when it started, the id is the name: it is taken to have
// one incarnation only.
func IncarnationName(id api.ServerID, born api.Birth) api.ServerName {
	if born == 0 {
		return api.ServerName(id)
	}
	return api.ServerName(string(id) + "@" + strconv.FormatInt(int64(born), 10))
}

// SupersededBy reports whether an incarnation of the same server with the given birth is
// later than this one. It is false if either birth is unknown.
func (s Server) SupersededBy(born api.Birth) bool {
	return s.Born != 0 && born > s.Born
}

// Supersedes reports whether an incarnation of the same server with the given birth is earlier than
// this one. It is false if either birth is unknown.
func (s Server) Supersedes(born api.Birth) bool {
	return born != 0 && born < s.Born
}

// incarnations holds the latest known incarnation of each server.
type incarnations map[api.ServerID]Server

// stale reports whether an entry is that of an earlier incarnation: a delayed write may
// take effect after the server that sent it has restarted.
func (l incarnations) stale(s Server) bool {
	n, ok := l[s.ID]
	return ok && s.SupersededBy(n.Born)
}

// observe records an incarnation. If it is new, it returns the earlier one that it ends.
func (l incarnations) observe(s Server) (Server, bool) {
	n, ok := l[s.ID]
	l[s.ID] = s
	return n, ok && n.SupersededBy(s.Born)
}

// latest returns the latest incarnation of the server that wrote an entry, or the entry's own if
// servers have one incarnation only.
func (l incarnations) latest(s Server) Server {
	if n, ok := l[s.ID]; ok && s.ID != "" {
		return n
	}
	return s
}

// remove drops an incarnation that has ended, unless a later one is known.
func (l incarnations) remove(s Server) {
	if n, ok := l[s.ID]; ok && n.Name == s.Name {
		delete(l, s.ID)
	}
}
