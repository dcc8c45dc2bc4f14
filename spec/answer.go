package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
)

// Sizes of the answer model: two generations of two tokens each, on engines that may fail or
// lose a generation. Any event may be lost, late, duplicated or out of order.
const (
	generations = 2
	tokens      = 2
)

type answerState struct {
	answer answer.Answer
	// started counts the generations that were started.
	started int
	// sent marks the generations that may have run.
	sent [generations]bool
	// open is set while a stream of the current generation is read.
	open bool
	// delivered holds the generation and index of each token that the caller received.
	delivered [2*tokens + 1][2]int
	count     int
	finished  bool
	failed    bool
	ran       api.Ran
	now       int
}

func generationID(g int) api.GenerationID { return api.GenerationID(sprintf("g%d", g)) }

func answerModel(repeatable bool, mutation string) model[answerState] {
	p := answer.Policy{Repeatable: repeatable, MaxResumeTime: 2 * time.Second, Deadline: at(100)}
	return model[answerState]{
		name:      sprintf("one generation: 2 generations of 2 tokens, repeatable %v", repeatable),
		initial:   answerState{answer: *answer.New(p), started: 0},
		next:      func(s answerState) []step[answerState] { return answerNext(s, mutation) },
		violation: func(s answerState) string { return answerViolation(s, repeatable) },
	}
}

func answerViolation(s answerState, repeatable bool) string {
	for i := range s.count {
		if s.delivered[i][1] != i || s.delivered[i][0] != s.delivered[0][0] {
			return "the caller received a duplicate, missing, reordered or foreign token"
		}
	}
	ran := 0
	for _, x := range s.sent {
		if x {
			ran++
		}
	}
	switch {
	case s.finished && s.count != tokens:
		return "the answer ended before its last token"
	case !repeatable && ran > 1:
		return "a request that is not repeatable ran twice"
	case s.failed && s.ran == api.RanNo && ran > 0:
		return "a request that may have run was answered as not run"
	}
	return ""
}

func answerNext(s answerState, mutation string) []step[answerState] {
	if s.finished || s.failed {
		return nil
	}
	var l []step[answerState]
	add := func(name string, n answerState) { l = append(l, step[answerState]{name, n}) }
	if s.started == 0 {
		n := s
		n.answer.Begin(generationID(0))
		n.answer.MarkSent()
		n.started = 1
		add("g0 is sent", n)
		return l
	}
	if !s.open {
		l = append(l, openNext(s, mutation)...)
		return l
	}
	for g := range s.started {
		for i := range tokens + 1 {
			if n, ok := receive(s, g, i, mutation); ok {
				add(sprintf("token %d of g%d arrives", i, g), n)
			}
		}
	}
	n := s
	n.handleBreak(answer.Broken, mutation)
	add("the stream breaks", n)
	return l
}

// openNext lists the outcomes of a start or a resume.
func openNext(s answerState, mutation string) []step[answerState] {
	var l []step[answerState]
	add := func(name string, n answerState) { l = append(l, step[answerState]{name, n}) }
	n := s
	n.sent[s.started-1] = true
	n.open = true
	n.answer.MarkOpened()
	add("the engine streams", n)
	n = s
	n.sent[s.started-1] = true
	n.handleBreak(answer.Broken, mutation)
	add("the connection breaks, the engine has the generation", n)
	for _, c := range []answer.Cause{answer.NotConnected, answer.Refused} {
		n = s
		n.handleBreak(c, mutation)
		add(sprintf("the engine is not reached or refuses (cause %d)", c), n)
	}
	n = s
	n.handleBreak(answer.GenerationUnknown, mutation)
	add("the engine has forgotten the generation", n)
	return l
}

// receive handles an event of a generation: token i, or the end after the last token. It returns
// false if the event can't occur.
func receive(s answerState, g, i int, mutation string) (answerState, bool) {
	if !s.sent[g] {
		return s, false
	}
	e := api.TokenEvent{Generation: generationID(g), Index: i}
	if i == tokens {
		e.Finish = string(api.FinishReasonStop)
	}
	n := s
	v := n.answer.HandleEvent(e)
	if mutation == "late tokens are accepted" && v == answer.Drop && e.Finish == "" {
		v = answer.Deliver
	}
	switch v {
	case answer.Deliver:
		if n.count == len(n.delivered) {
			return s, false
		}
		n.delivered[n.count] = [2]int{g, i}
		n.count++
	case answer.Finish:
		n.finished = true
	case answer.Gap:
		n.handleBreak(answer.Broken, mutation)
	}
	return n, true
}

// handleBreak carries out the action that the real code decides on after a break.
func (s *answerState) handleBreak(c answer.Cause, mutation string) {
	s.open = false
	s.now = min(s.now+1, 5)
	n := s.answer.Break(at(s.now), c)
	if mutation == "a failed resume counts as unsent" && (c == answer.NotConnected || c == answer.Refused) && s.answer.NextIndex() == 0 {
		n.Action = answer.Retry
	}
	switch n.Action {
	case answer.Retry:
		s.retry(mutation)
	case answer.Fail:
		s.failed, s.ran = true, n.Fault.Ran
	}
}

// retry starts the next generation, or fails the answer if there is none or the real code
// forbids another.
func (s *answerState) retry(mutation string) {
	if s.started == generations {
		s.failed, s.ran = true, s.answer.Ran()
		return
	}
	ok := s.answer.Begin(generationID(s.started))
	if !ok && mutation == "" {
		s.failed, s.ran = true, s.answer.Ran()
		return
	}
	if !ok {
		// The mutation starts a generation although the real code forbids it.
		s.answer = *answer.New(answer.Policy{MaxResumeTime: 2 * time.Second, Deadline: at(100)})
		s.answer.Begin(generationID(s.started))
	}
	s.answer.MarkSent()
	s.started++
}
