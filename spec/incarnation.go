package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Mutations of what tells two lives of a server apart.
const (
	// mutateNoBirth leaves births out, so that both lives have one name.
	mutateNoBirth = "servers don't tell their births"
	// mutateStaleEntry takes an entry of the earlier life for one of another server.
	mutateStaleEntry = "late entries are not recognised"
	// mutateNoReportBirth leaves the birth out of what the server itself tells.
	mutateNoReportBirth = "the server's own word counts for any life"
)

// Words about a server that an entry VM hears.
const (
	// messageEntry is the entry in the store.
	messageEntry = iota
	// messageNotice is a peer's word that a life said it was leaving.
	messageNotice
	// messageEnded is the server's own word that a life is over.
	messageEnded
)

// maxMessages bounds the words heard.
const maxMessages = 5

// incarnationEntry is an entry in the store, of a life counted from one; zero for none.
type incarnationEntry struct {
	incarnation int8
	draining    bool
}

// incarnationMessage is one word heard: of an entry, or of a life.
type incarnationMessage struct {
	kind  int8
	entry incarnationEntry
}

// incarnationState is a server with two lives under one id. Its writes, and words of others
// about it, may come late, and again; the roster is made anew from what was heard.
type incarnationState struct {
	// server is what the server is, and entry what the store has of it.
	server, entry incarnationEntry
	// delayed is a write of the first life that has not taken effect yet.
	delayed incarnationEntry
	// announced are the lives that told somebody that they are leaving.
	announced [2]bool
	messages  [maxMessages]incarnationMessage
	received  int8
}

func incarnationModel(mutation string) model[incarnationState] {
	return model[incarnationState]{
		name:      "life",
		initial:   incarnationState{server: incarnationEntry{incarnation: 1}, entry: incarnationEntry{incarnation: 1}},
		next:      incarnationNext,
		violation: func(s incarnationState) string { return incarnationViolation(s, mutation) },
	}
}

// incarnationNext lists what can happen.
func incarnationNext(s incarnationState) []step[incarnationState] {
	var l []step[incarnationState]
	add := func(name string, change func(s *incarnationState)) {
		n := s
		change(&n)
		l = append(l, step[incarnationState]{name: name, next: n})
	}
	if !s.server.draining {
		add("the server drains", func(s *incarnationState) {
			s.server.draining, s.announced[s.server.incarnation-1] = true, true
			s.entry = s.server
		})
	}
	if s.server.incarnation == 1 {
		add("a write is held back", func(s *incarnationState) { s.delayed = s.server })
		add("the server starts again", func(s *incarnationState) {
			s.server = incarnationEntry{incarnation: 2}
			s.entry = s.server
		})
	}
	if s.delayed.incarnation > 0 {
		add("a write that was held back takes effect", func(s *incarnationState) { s.entry, s.delayed = s.delayed, incarnationEntry{} })
	}
	if s.entry != s.server {
		add("the server writes its entry again", func(s *incarnationState) { s.entry = s.server })
	}
	if s.received == maxMessages {
		return l
	}
	receive := func(name string, w incarnationMessage) {
		add(name, func(s *incarnationState) {
			s.messages[s.received] = w
			s.received++
		})
	}
	receive("the entry is heard", incarnationMessage{kind: messageEntry, entry: s.entry})
	for i, announced := range s.announced {
		if announced {
			receive("a notice is heard", incarnationMessage{kind: messageNotice, entry: incarnationEntry{incarnation: int8(i + 1)}})
		}
	}
	if s.server.incarnation == 2 {
		receive("the server tells of its later life", incarnationMessage{kind: messageEnded, entry: incarnationEntry{incarnation: 1}})
	}
	return l
}

// rosterServer is a life as an entry tells of it.
func rosterServer(e incarnationEntry, mutation string) roster.Server {
	s := roster.Server{ID: "a", Born: api.Birth(e.incarnation), Draining: e.draining}
	if mutation == mutateNoBirth {
		s.Born = 0
	}
	s.Name = roster.IncarnationName(s.ID, s.Born)
	return s
}

// buildRoster hears all words in turn.
func buildRoster(s incarnationState, mutation string) *roster.Roster {
	r := roster.New()
	now := time.Unix(100, 0)
	r.SetStoreDown(now.Add(-time.Minute), false)
	later := false
	for _, w := range s.messages[:s.received] {
		n := rosterServer(w.entry, mutation)
		switch w.kind {
		case messageEntry:
			later = later || w.entry.incarnation == 2
			if mutation == mutateStaleEntry && later && w.entry.incarnation == 1 {
				n.ID = "another"
			}
			r.Update(now, []roster.Server{n}, false)
		case messageNotice:
			r.MarkLeaving(now, n.Name)
		case messageEnded:
			if mutation == mutateNoReportBirth {
				n = rosterServer(incarnationEntry{incarnation: 2}, mutation)
			}
			r.End(now, n.Name)
		}
	}
	return r
}

// incarnationViolation tells which property the words heard have broken.
func incarnationViolation(s incarnationState, mutation string) string {
	r := buildRoster(s, mutation)
	first, known := r.Find(rosterServer(incarnationEntry{incarnation: 1}, mutation).Name)
	second, later := r.Find(rosterServer(incarnationEntry{incarnation: 2}, mutation).Name)
	newest, received, noticed := newestReceived(s)
	switch {
	case received && !later:
		return "the later life is not known"
	case received && known && first.Name != second.Name && first.State != roster.Ended:
		return "the earlier life goes on beside the later one"
	case received && !noticed && !newest.draining && second.State != roster.Ready:
		return "words on the earlier life hide the later one"
	case received && newest.draining && second.State != roster.Leaving:
		return "the later life's notice is lost"
	}
	return ""
}

// newestReceived gives the newest entry of the second life that was heard, whether there was
// one, and whether a notice of that life was heard after the first.
func newestReceived(s incarnationState) (newest incarnationEntry, known, noticed bool) {
	for _, w := range s.messages[:s.received] {
		switch {
		case w.entry.incarnation == 2 && w.kind == messageEntry:
			newest, known = w.entry, true
		case w.entry.incarnation == 2 && w.kind == messageNotice && known:
			noticed = true
		}
	}
	return newest, known, noticed
}
