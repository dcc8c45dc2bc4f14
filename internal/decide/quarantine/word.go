package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// tellTime is how long news are told to peers: several exchanges with each, of
	// which some may fail.
	tellTime = 5 * time.Second
	// answeredTime is how long a whole answer is remembered, so that a late word of an
	// earlier break counts for nothing; no word is told for longer over three hops.
	answeredTime = 3 * tellTime
	// wordsMost bounds the words of one message, at some 100 bytes each. An engine that
	// ends has some eight runs; in a wave of crashes the words of several messages take
	// turns.
	wordsMost = 24
	// hearMost bounds the words that are taken of one message.
	hearMost = 4 * wordsMost
)

// Tell gives the words that peers may not know yet.
func (t *Table) Tell(now time.Time) []api.ContentWord {
	if now.Sub(t.learned) > tellTime {
		// A hub of 60 members tells some 240 times a second: to look at a thousand contents
		// each time takes 0.7% of a core (BenchmarkTellNothing, 30 us without this).
		return nil
	}
	return t.tell(now, func(x *content) bool { return now.Sub(x.learned) <= tellTime })
}

// TellAll gives the words that peers may not know yet, and those of refused contents.
func (t *Table) TellAll(now time.Time) []api.ContentWord {
	return t.tell(now, func(x *content) bool { return now.Sub(x.learned) <= tellTime || x.until.After(now) })
}

// tell gives the words of some contents, in turns where they are too many.
func (t *Table) tell(now time.Time, is func(x *content) bool) []api.ContentWord {
	var l []api.ContentWord
	for c, x := range t.contents {
		if is(x) {
			l = append(l, x.words(now, c)...)
		}
	}
	slices.SortFunc(l, func(a, b api.ContentWord) int {
		return cmp.Or(cmp.Compare(a.Content, b.Content), cmp.Compare(a.Server, b.Server))
	})
	if len(l) <= wordsMost {
		return l
	}
	t.turn = (t.turn + wordsMost) % len(l)
	return slices.Concat(l[t.turn:], l[:t.turn])[:wordsMost]
}

// words are what there is to tell of a content.
func (x *content) words(now time.Time, c api.ContentHash) []api.ContentWord {
	var l []api.ContentWord
	if !x.answered.IsZero() {
		l = append(l, api.ContentWord{Content: c, AgeMS: api.ToMilliseconds(now.Sub(x.answered))})
	}
	for s, r := range x.crashes {
		if !r.told() {
			continue
		}
		l = append(l, api.ContentWord{Content: c, Server: s, Ended: r.proven, AgeMS: api.ToMilliseconds(now.Sub(r.at))})
	}
	return l
}

// Hear takes the words of a peer.
func (t *Table) Hear(now time.Time, l []api.ContentWord) {
	for _, w := range l[:min(len(l), hearMost)] {
		if w.Content == "" || w.AgeMS < 0 || w.AgeMS > api.ToMilliseconds(keepTime) {
			continue
		}
		at := now.Add(-w.AgeMS.Duration())
		if w.Server == "" {
			t.answered(now, at, t.of(w.Content))
			continue
		}
		t.broke(now, at, w.Content, w.Server, Closed)
		if r, ok := t.of(w.Content).crashes[w.Server]; ok && w.Ended {
			t.prove(now, t.of(w.Content), r)
		}
	}
}
