package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Mutations of what tells two lives of a server apart.
const (
	// mutateBirth leaves births out, so that both lives have one name.
	mutateBirth = "servers don't tell their births"
	// mutateStale takes an entry of the earlier life for one of another server.
	mutateStale = "late entries are not recognised"
	// mutateReport leaves the birth out of what the server itself tells.
	mutateReport = "the server's own word counts for any life"
)

// Words about a server that an entry VM hears.
const (
	// wordEntry is the entry in the store.
	wordEntry = iota
	// wordNotice is a peer's word that a life said it was leaving.
	wordNotice
	// wordEnded is the server's own word that a life is over.
	wordEnded
)

// lifeLog bounds the words heard.
const lifeLog = 5

// lifeEntry is an entry in the store, of a life counted from one; zero for none.
type lifeEntry struct {
	life     int8
	draining bool
}

// lifeWord is one word heard: of an entry, or of a life.
type lifeWord struct {
	kind  int8
	entry lifeEntry
}

// lifeState is a server with two lives under one id. Its writes, and words of others
// about it, may come late, and again; the roster is made anew from what was heard.
type lifeState struct {
	// now is what the server is, and entry what the store has of it.
	now, entry lifeEntry
	// held is a write of the first life that has not taken effect yet.
	held lifeEntry
	// said are the lives that told somebody that they are leaving.
	said [2]bool
	log  [lifeLog]lifeWord
	used int8
}

func incarnationModel(mutation string) model[lifeState] {
	return model[lifeState]{
		name:      "life",
		initial:   lifeState{now: lifeEntry{life: 1}, entry: lifeEntry{life: 1}},
		next:      lifeNext,
		violation: func(s lifeState) string { return incarnationViolation(s, mutation) },
	}
}

// lifeNext lists what can happen.
func lifeNext(s lifeState) []step[lifeState] {
	var l []step[lifeState]
	add := func(name string, change func(s *lifeState)) {
		n := s
		change(&n)
		l = append(l, step[lifeState]{name: name, next: n})
	}
	if !s.now.draining {
		add("the server drains", func(s *lifeState) {
			s.now.draining, s.said[s.now.life-1] = true, true
			s.entry = s.now
		})
	}
	if s.now.life == 1 {
		add("a write is held back", func(s *lifeState) { s.held = s.now })
		add("the server starts again", func(s *lifeState) {
			s.now = lifeEntry{life: 2}
			s.entry = s.now
		})
	}
	if s.held.life > 0 {
		add("a write that was held back takes effect", func(s *lifeState) { s.entry, s.held = s.held, lifeEntry{} })
	}
	if s.entry != s.now {
		add("the server writes its entry again", func(s *lifeState) { s.entry = s.now })
	}
	if s.used == lifeLog {
		return l
	}
	hear := func(name string, w lifeWord) {
		add(name, func(s *lifeState) {
			s.log[s.used] = w
			s.used++
		})
	}
	hear("the entry is heard", lifeWord{kind: wordEntry, entry: s.entry})
	for i, said := range s.said {
		if said {
			hear("a notice is heard", lifeWord{kind: wordNotice, entry: lifeEntry{life: int8(i + 1)}})
		}
	}
	if s.now.life == 2 {
		hear("the server tells of its later life", lifeWord{kind: wordEnded, entry: lifeEntry{life: 1}})
	}
	return l
}

// lifeServer is a life as an entry tells of it.
func lifeServer(e lifeEntry, mutation string) roster.Server {
	s := roster.Server{ID: "a", Born: api.Birth(e.life), Draining: e.draining}
	if mutation == mutateBirth {
		s.Born = 0
	}
	s.Name = roster.IncarnationName(s.ID, s.Born)
	return s
}

// lifeRoster hears all words in turn.
func lifeRoster(s lifeState, mutation string) *roster.Roster {
	r := roster.New()
	now := time.Unix(100, 0)
	r.SetStoreDown(now.Add(-time.Minute), false)
	later := false
	for _, w := range s.log[:s.used] {
		n := lifeServer(w.entry, mutation)
		switch w.kind {
		case wordEntry:
			later = later || w.entry.life == 2
			if mutation == mutateStale && later && w.entry.life == 1 {
				n.ID = "another"
			}
			r.Update(now, []roster.Server{n}, false)
		case wordNotice:
			r.MarkLeaving(now, n.Name)
		case wordEnded:
			if mutation == mutateReport {
				n = lifeServer(lifeEntry{life: 2}, mutation)
			}
			r.End(now, n.Name)
		}
	}
	return r
}

// incarnationViolation tells which property the words heard have broken.
func incarnationViolation(s lifeState, mutation string) string {
	r := lifeRoster(s, mutation)
	first, known := r.Find(lifeServer(lifeEntry{life: 1}, mutation).Name)
	second, later := r.Find(lifeServer(lifeEntry{life: 2}, mutation).Name)
	newest, heard, said := lifeHeard(s)
	switch {
	case heard && !later:
		return "the later life is not known"
	case heard && known && first.Name != second.Name && first.State != roster.Ended:
		return "the earlier life goes on beside the later one"
	case heard && !said && !newest.draining && second.State != roster.Ready:
		return "words on the earlier life hide the later one"
	case heard && newest.draining && second.State != roster.Leaving:
		return "the later life's notice is lost"
	}
	return ""
}

// lifeHeard gives the newest entry of the second life that was heard, whether there was
// one, and whether a notice of that life was heard after the first.
func lifeHeard(s lifeState) (newest lifeEntry, heard, said bool) {
	for _, w := range s.log[:s.used] {
		switch {
		case w.entry.life == 2 && w.kind == wordEntry:
			newest, heard = w.entry, true
		case w.entry.life == 2 && w.kind == wordNotice && heard:
			said = true
		}
	}
	return newest, heard, said
}
