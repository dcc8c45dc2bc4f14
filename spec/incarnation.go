package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Mutations of how two incarnations of a server are distinguished.
const (
	// mutateNoBirth leaves the times of birth out, so that both incarnations have the same name.
	mutateNoBirth = "servers don't report their births"
	// mutateStaleEntry treats a late entry of the earlier incarnation as that of another server.
	mutateStaleEntry = "late entries are not recognised"
	// mutateNoReportBirth leaves the time of birth out of the server's report that an incarnation
	// ended, which then ends the present one.
	mutateNoReportBirth = "the server's report counts for any incarnation"
)

// Kinds of messages about a server that an entry VM receives.
const (
	// messageEntry is the server's entry in the store.
	messageEntry = iota
	// messageNotice is a peer's notice that an incarnation announced its leave.
	messageNotice
	// messageEnded is the server's report that an incarnation ended.
	messageEnded
)

// maxMessages bounds the messages that the entry VM receives.
const maxMessages = 5

// incarnationEntry is the store's entry of an incarnation, counted from one; zero for none.
type incarnationEntry struct {
	incarnation int8
	draining    bool
}

// incarnationMessage is a message about an incarnation; only messageEntry uses the whole entry.
type incarnationMessage struct {
	kind  int8
	entry incarnationEntry
}

// incarnationState is a server with two incarnations under one id. Its writes and others'
// messages about it may arrive late and more than once. The real roster is rebuilt from the
// messages received.
type incarnationState struct {
	// server is the server's actual state, and entry its state in the store.
	server, entry incarnationEntry
	// delayed is a write of the first incarnation that has not taken effect yet.
	delayed incarnationEntry
	// announced marks the incarnations that announced their leave.
	announced [2]bool
	messages  [maxMessages]incarnationMessage
	received  int8
}

func incarnationModel(mutation string) model[incarnationState] {
	return model[incarnationState]{
		name:      "incarnations",
		initial:   incarnationState{server: incarnationEntry{incarnation: 1}, entry: incarnationEntry{incarnation: 1}},
		next:      incarnationNext,
		violation: func(s incarnationState) string { return incarnationViolation(s, mutation) },
	}
}

// incarnationNext lists the steps of a state.
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
		add("a write is delayed", func(s *incarnationState) { s.delayed = s.server })
		add("the server restarts", func(s *incarnationState) {
			s.server = incarnationEntry{incarnation: 2}
			s.entry = s.server
		})
	}
	if s.delayed.incarnation > 0 {
		add("the delayed write takes effect", func(s *incarnationState) { s.entry, s.delayed = s.delayed, incarnationEntry{} })
	}
	if s.entry != s.server {
		add("the server rewrites its entry", func(s *incarnationState) { s.entry = s.server })
	}
	if s.received == maxMessages {
		return l
	}
	receive := func(name string, m incarnationMessage) {
		add(name, func(s *incarnationState) {
			s.messages[s.received] = m
			s.received++
		})
	}
	receive("the entry is received", incarnationMessage{kind: messageEntry, entry: s.entry})
	for i, announced := range s.announced {
		if announced {
			receive("a notice is received", incarnationMessage{kind: messageNotice, entry: incarnationEntry{incarnation: int8(i + 1)}})
		}
	}
	if s.server.incarnation == 2 {
		receive("the server reports that its first incarnation ended", incarnationMessage{kind: messageEnded, entry: incarnationEntry{incarnation: 1}})
	}
	return l
}

// rosterServer returns the roster's server that an entry describes.
func rosterServer(e incarnationEntry, mutation string) roster.Server {
	s := roster.Server{ID: "a", Born: api.Birth(e.incarnation), Draining: e.draining}
	if mutation == mutateNoBirth {
		s.Born = 0
	}
	s.Name = roster.IncarnationName(s.ID, s.Born)
	return s
}

// buildRoster applies all messages received to a new roster, in order.
func buildRoster(s incarnationState, mutation string) *roster.Roster {
	r := roster.New()
	now := time.Unix(100, 0)
	r.SetStoreDown(now.Add(-time.Minute), false)
	later := false
	for _, m := range s.messages[:s.received] {
		n := rosterServer(m.entry, mutation)
		switch m.kind {
		case messageEntry:
			later = later || m.entry.incarnation == 2
			if mutation == mutateStaleEntry && later && m.entry.incarnation == 1 {
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

// incarnationViolation names the property that the roster violates after the messages received.
func incarnationViolation(s incarnationState, mutation string) string {
	r := buildRoster(s, mutation)
	first, known := r.Find(rosterServer(incarnationEntry{incarnation: 1}, mutation).Name)
	second, later := r.Find(rosterServer(incarnationEntry{incarnation: 2}, mutation).Name)
	newest, received, noticed := newestReceived(s)
	switch {
	case received && !later:
		return "the later incarnation is not known"
	case received && known && first.Name != second.Name && first.State != roster.Ended:
		return "the earlier incarnation stays usable beside the later one"
	case received && !noticed && !newest.draining && second.State != roster.Ready:
		return "messages about the earlier incarnation hide the later one"
	case received && newest.draining && second.State != roster.Leaving:
		return "the later incarnation's notice is lost"
	}
	return ""
}

// newestReceived returns the newest entry of the second incarnation that was received, whether
// there was one, and whether a notice of that incarnation followed its first entry.
func newestReceived(s incarnationState) (newest incarnationEntry, known, noticed bool) {
	for _, m := range s.messages[:s.received] {
		switch {
		case m.entry.incarnation == 2 && m.kind == messageEntry:
			newest, known = m.entry, true
		case m.entry.incarnation == 2 && m.kind == messageNotice && known:
			noticed = true
		}
	}
	return newest, known, noticed
}
