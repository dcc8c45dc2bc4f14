package spec

import (
	"strconv"
	"time"

	"github.com/wardridge/wardridge/internal/decide/evacuate"
	"github.com/wardridge/wardridge/internal/decide/sequence"
)

// Sizes of the move model: a run of three events on a source that is leaving, and two servers
// that it may move to. Copies may be refused or get no answer, the answer to a stop may be lost,
// servers may crash, connections may break and the caller may disconnect.
const (
	moveEvents  = 3
	moveServers = 3
	// maxMoveSteps bounds the mover's steps; later ones get no answer.
	maxMoveSteps = 5
	// noServer means no server, or no copy at a server.
	noServer = -1
)

type moveState struct {
	move   evacuate.Move
	action evacuate.Action
	// moving is set while the mover has steps left.
	moving bool
	steps  int
	// stopSent is set once the entry VM has ordered the source to stop the run.
	stopSent bool
	target   int
	// backup is the server with the newest copy of the run that the entry VM knows of; copied is
	// the number of events in each server's copy.
	backup int
	copied [moveServers]int
	alive  [moveServers]bool
	// running marks the servers that execute the run, and produced counts its events.
	running  [moveServers]bool
	produced int
	// stream is the server whose stream is read, and nextEvent the number of its next event.
	stream    int
	nextEvent int
	events    sequence.Sequence
	received  [moveEvents + 1]int
	count     int
	resumed   bool
	ended     bool
	aborted   bool
	runsTwice bool
}

func moveModel(mutation string) model[moveState] {
	m := evacuate.New(at(0))
	s := moveState{move: *m, action: m.First(), moving: true, target: noServer, backup: noServer, produced: 1, stream: 0, nextEvent: 1}
	for i := range moveServers {
		s.alive[i] = true
		s.copied[i] = noServer
	}
	s.running[0] = true
	return model[moveState]{
		name:      sprintf("move: a run of %d events, %d servers, crashes, breaks, lost answers", moveEvents, moveServers),
		initial:   s,
		next:      func(s moveState) []step[moveState] { return moveNext(s, mutation) },
		violation: moveViolation,
	}
}

func moveViolation(s moveState) string {
	for i := range s.count {
		if s.received[i] != i+1 {
			return "the caller received a duplicate, missing or reordered event"
		}
	}
	switch {
	case s.runsTwice:
		return "the run resumed at a server while another one executes it"
	case s.ended && s.count != moveEvents:
		return "the stream ended as complete before its last event"
	}
	return ""
}

func moveNext(s moveState, mutation string) []step[moveState] {
	if s.ended || s.aborted {
		return nil
	}
	var l []step[moveState]
	add := func(name string, n moveState) { l = append(l, step[moveState]{name, n}) }
	for i := range moveServers {
		if s.running[i] && s.produced < moveEvents {
			n := s
			n.produced++
			add("an event is produced", n)
		}
		if i < 2 && s.alive[i] {
			n := s
			n.alive[i], n.running[i] = false, false
			add(sprintf("server %d crashes", i), n)
		}
	}
	l = append(l, readNext(s, mutation)...)
	l = append(l, moverNext(s)...)
	return l
}

// readNext lists the steps of the stream that is read, or those that resume it.
func readNext(s moveState, mutation string) []step[moveState] {
	var l []step[moveState]
	add := func(name string, n moveState) { l = append(l, step[moveState]{name, n}) }
	if s.stream == noServer {
		if !s.stopSent || !s.moving {
			add("the run resumes after the last event delivered", s.resume(false))
			add("the run resumes at the end of its copy", s.resume(true))
		}
		return l
	}
	if s.nextEvent <= s.produced {
		add(sprintf("event %d arrives", s.nextEvent), s.read(mutation))
	}
	if s.nextEvent > moveEvents && s.alive[s.stream] {
		n := s
		n.ended = true
		add("the stream ends", n)
	}
	n := s
	if mutation != "the connection is left open" {
		// The run is over at the server before it resumes elsewhere, as runFenceModel shows.
		n.running[s.stream] = false
	}
	n.stream = noServer
	add("the stream breaks", n)
	n.aborted = true
	add("the caller leaves", n)
	return l
}

// read handles the next event of the stream.
func (s moveState) read(mutation string) moveState {
	v := s.events.Accept(strconv.Itoa(s.nextEvent))
	if mutation == "event ids are not checked" {
		v = sequence.Deliver
	}
	switch v {
	case sequence.Deliver:
		s.received[min(s.count, moveEvents)] = s.nextEvent
		s.count = min(s.count+1, moveEvents+1)
	case sequence.Gap:
		s.running[s.stream] = false
		s.stream = noServer
		s.backup = noServer
	}
	s.nextEvent++
	return s
}

// resume resumes the run from its newest copy, once. Servers that repeat events start at the end
// of the copy, although the caller may have received later events.
func (s moveState) resume(repeats bool) moveState {
	h := s.backup
	if h == noServer || s.resumed || !s.alive[h] || s.copied[h] == noServer {
		s.aborted = true
		return s
	}
	s.resumed = true
	s.moving = false
	for i := range moveServers {
		s.runsTwice = s.runsTwice || s.running[i] && i != h
	}
	s.running[h] = true
	s.stream = h
	s.nextEvent = s.count + 1
	if repeats {
		s.nextEvent = min(s.nextEvent, s.copied[h]+1)
	}
	s.produced = max(s.copied[h], s.count)
	s.events.Resume()
	return s
}

// moverNext lists the outcomes of the mover's current step.
func moverNext(s moveState) []step[moveState] {
	if !s.moving {
		return nil
	}
	if s.action.Kind != evacuate.Copy && s.action.Kind != evacuate.Stop {
		n := s
		n.moving = false
		return []step[moveState]{{"the move ends", n}}
	}
	if s.action.NewTarget {
		s.target = 1 + (s.target+moveServers)%(moveServers-1)
		s.action.NewTarget = false
	}
	s.stopSent = s.stopSent || s.action.Kind == evacuate.Stop
	s.steps++
	if !s.alive[0] || s.steps > maxMoveSteps {
		return []step[moveState]{{"the source does not answer", s.result(evacuate.NoAnswer, 0)}}
	}
	var l []step[moveState]
	add := func(name string, n moveState) { l = append(l, step[moveState]{name, n}) }
	add("the source does not answer", s.result(evacuate.NoAnswer, 0))
	if !s.running[0] && !s.stopSent {
		add("the source has no such run", s.result(evacuate.Missing, 0))
		return l
	}
	add("another copy is in progress", s.result(evacuate.Busy, 0))
	n := s
	if s.action.Kind == evacuate.Stop {
		n.running[0] = false
		add("the run stops, the answer is lost", n.result(evacuate.NoAnswer, 0))
		f := n
		f.copied[0], f.backup = n.produced, 0
		add("the run stops, the target has no free memory", f.result(evacuate.Full, 0))
	} else {
		add("the target has no free memory", s.result(evacuate.Full, 0))
	}
	if !s.alive[s.target] {
		return l
	}
	n.copied[n.target], n.backup = n.produced, n.target
	add("the copy is made over idle links", n.result(evacuate.Copied, 10*time.Millisecond))
	add("the copy is made slowly behind others", n.result(evacuate.Copied, time.Second))
	return l
}

// result applies the outcome of a step and takes the next action from the real code.
func (s moveState) result(o evacuate.Outcome, took time.Duration) moveState {
	s.action = s.move.Next(at(0), evacuate.Result{Outcome: o, Took: took})
	s.action.Delay = 0
	return s
}
