package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Mutations of what entry VMs know of a server's limit.
const (
	// mutateSent lets any answer without a limit take one back.
	mutateSent = "answers that were on their way count"
	// mutateWay takes a peer's word for as new as it looks.
	mutateWay = "the way of a word is not counted"
)

const (
	// limitTick is the length of a step of time, and wordTicks how many a peer's word is on
	// its way at most.
	limitTick = 300 * time.Millisecond
	wordTicks = 2
	// limitTicks bounds the time, switchMost how often the server names a limit or takes it
	// back.
	limitTicks = 5
	switchMost = 3
	// limitVMs is the number of entry VMs, of which the hearer has answers of the server and the
	// other one words of its peer; exchangesMost and wordsMost bound what is on its way.
	limitVMs      = 2
	hearer        = 0
	exchangesMost = 2
	wordsMost     = 1
)

// limitRecord is what an entry VM knows: since when, and whether a limit is named.
type limitRecord struct {
	known, named bool
	since, at    int8
}

// limitExchange is a request to the server, or its answer.
type limitExchange struct {
	open, answered, named bool
	sent                  int8
	// switches are those of the server when it answered.
	switches int8
}

// limitWord is a peer's word on its way.
type limitWord struct {
	open   bool
	to     int8
	record limitRecord
	sent   int8
}

// limitState is a server that names a limit now and then, and entry VMs that hear of it from its
// answers or from each other, late and out of order.
type limitState struct {
	now       int8
	named     bool
	switches  int8
	records   [limitVMs]limitRecord
	exchanges [exchangesMost]limitExchange
	words     [wordsMost]limitWord
	// told is the switches of the server when it last named its limit to each entry VM.
	told [limitVMs]int8
	// older is set once a word that is older than what was known changed it.
	older bool
}

func limitWorld(mutation string) world[limitState] {
	return world[limitState]{
		name:   "limit",
		next:   func(s limitState) []step[limitState] { return limitNext(s, mutation) },
		broken: limitBroken,
	}
}

const limitServer api.ServerName = "server"

func limitAt(tick int8) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(tick) * limitTick)
}

// limits makes the real record of what an entry VM knows.
func (r limitRecord) limits() *throttle.Limits {
	l := throttle.NewLimits()
	if !r.known {
		return l
	}
	// An earlier word makes one that takes the limit back count.
	l.Record(limitAt(-100), limitAt(-100), limitServer, throttle.Limit{Announced: true, Rate: 1})
	if r.since == r.at {
		l.Record(limitAt(r.at), limitAt(r.at), limitServer, throttle.Limit{Announced: r.named, Rate: 1})
		return l
	}
	// A peer's word is as old as its way allows.
	l.Merge(limitAt(r.at), api.ServerLimit{Server: limitServer, Named: r.named, PerSecond: 1, OldestMS: r.oldest()})
	return l
}

// oldest is what a peer has to tell as the oldest time of a record that is as young as it may be.
func (r limitRecord) oldest() api.Milliseconds {
	return api.ToMilliseconds(time.Duration(r.at-r.since-wordTicks) * limitTick)
}

// readLimits reads the real record back.
func readLimits(l *throttle.Limits, now int8) limitRecord {
	for _, r := range l.Reports(limitAt(now)) {
		return limitRecord{
			known: true, named: r.Named,
			since: now - int8(r.OldestMS.Duration()/limitTick), at: now - int8(r.AgeMS.Duration()/limitTick),
		}
	}
	return limitRecord{}
}

func limitNext(s limitState, mutation string) []step[limitState] {
	var l []step[limitState]
	add := func(name string, change func(n *limitState)) {
		n := s
		change(&n)
		l = append(l, step[limitState]{name, n})
	}
	if s.now < limitTicks && !s.overdue() {
		add("time passes", func(n *limitState) { n.now++ })
	}
	if s.switches < switchMost {
		add("the server names its limit or takes it back", func(n *limitState) { n.named, n.switches = !n.named, n.switches+1 })
	}
	for i, x := range s.exchanges {
		exchangeNext(s, i, x, mutation, add)
	}
	for i, w := range s.words {
		wordNext(s, i, w, mutation, add)
	}
	return l
}

// overdue reports whether a word has been on its way for as long as it may.
func (s limitState) overdue() bool {
	for _, w := range s.words {
		if w.open && s.now-w.sent >= wordTicks {
			return true
		}
	}
	return false
}

// exchangeNext is what can happen to one request.
func exchangeNext(s limitState, i int, x limitExchange, mutation string, add func(string, func(n *limitState))) {
	switch {
	case !x.open && (i == 0 || s.exchanges[i-1].open):
		add("a request is sent", func(n *limitState) { n.exchanges[i] = limitExchange{open: true, sent: s.now} })
	case !x.open:
	case !x.answered:
		add("the server answers", func(n *limitState) {
			n.exchanges[i].answered, n.exchanges[i].named, n.exchanges[i].switches = true, s.named, s.switches
		})
	default:
		add("an answer arrives", func(n *limitState) {
			n.exchanges[i] = limitExchange{}
			sent := x.sent
			if mutation == mutateSent {
				sent = s.now + 1
			}
			l := s.records[hearer].limits()
			l.Record(limitAt(s.now), limitAt(sent), limitServer, throttle.Limit{Announced: x.named, Rate: throttle.Rate(1)})
			n.records[hearer] = readLimits(l, s.now)
			if x.named {
				n.told[hearer] = x.switches
			}
		})
	}
}

// wordNext is what can happen to one word of a peer.
func wordNext(s limitState, i int, w limitWord, mutation string, add func(string, func(n *limitState))) {
	if !w.open {
		for vm := range int8(limitVMs) {
			if s.records[vm].known {
				add(named("VM %d tells its peer", vm), func(n *limitState) {
					n.words[i] = limitWord{open: true, to: 1 - vm, record: s.records[vm], sent: s.now}
				})
			}
		}
		return
	}
	add("a word is lost", func(n *limitState) { n.words[i] = limitWord{} })
	add(named("a word reaches VM %d", w.to), func(n *limitState) {
		n.words[i] = limitWord{}
		youngest, oldest := limitAt(w.sent).Sub(limitAt(w.record.at)), limitAt(w.sent).Sub(limitAt(w.record.since))
		if mutation == mutateWay {
			oldest = max(youngest, oldest-wordTicks*limitTick)
		}
		before := s.records[w.to]
		l := before.limits()
		l.Merge(limitAt(s.now), api.ServerLimit{
			Server: limitServer, Named: w.record.named, PerSecond: 1, AgeMS: api.ToMilliseconds(youngest), OldestMS: api.ToMilliseconds(oldest),
		})
		n.records[w.to] = readLimits(l, s.now)
		if before.known && w.record.at <= before.at && n.records[w.to].named != before.named {
			n.older = true
		}
	})
}

// limitBroken checks that an entry VM that has heard of a limit knows it as long as the server
// names it, and that no older word changes what is known.
func limitBroken(s limitState) string {
	if s.older {
		return "an older word of a peer changed what was known"
	}
	for vm, r := range s.records {
		if s.named && s.told[vm] == s.switches && !r.named {
			return "a limit that was heard, and is named still, is not known"
		}
	}
	return ""
}
