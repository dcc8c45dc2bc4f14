package role

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Penalties are in units of an engine's whole capacity, as placement scores are. They stand
// for what the callers on the engine would lose.
const (
	// shortResilient keeps resilient engines free for long answers.
	shortResilient = 0.4
	// shortPrefillStream is for each of at most maxShortPrefillStreams protected streams at a
	// prefill engine. It spreads short answers over the engines that still wait for handoffs.
	shortPrefillStream     = 0.1
	maxShortPrefillStreams = 5
	// shortDecode is for a decode engine without protected streams.
	shortDecode = 0.5
	// besideUnread is for an engine of unknown class with unread prompts.
	besideUnread = 1.0
	// longPrefill is for a long answer that has to be handed off later.
	longPrefill = 0.6
	// longDecode and longDecodeUnread are for decode engines without protected streams, the
	// latter with unread prompts, which would make the new stream late too.
	longDecode       = 0.2
	longDecodeUnread = 2.0
	// delayed and delayedStream are for a prompt at a decode engine with protected streams:
	// a fixed part, and one for each of at most maxDelayedStreams streams that may get late.
	delayed           = 1.0
	delayedStream     = 0.3
	maxDelayedStreams = 8
	// movePrefill is for a run that moves to an engine that prefills beside it.
	movePrefill = 2.0
	// moveUnknown is for a run that moves to an engine of unknown class.
	moveUnknown = 0.5
	// moveUnread is for a run that moves to a decode engine with unread prompts.
	moveUnread = 1.0
	// handoffResilient exceeds MaxHandoffScore: a handoff makes room on resilient engines.
	handoffResilient = 5.0
)

// MaxHandoffScore is the score from which an engine is not taken as the target of a handoff.
const MaxHandoffScore = 1.5

// Penalty returns what is added to the placement score of an engine with the given load. It is
// zero if the service is not mixed, and for a request that neither brings a new prompt nor has
// a protected stream: a backup copy, or a run that is late already.
func (p *Planner) Penalty(n api.ServerName, load api.ServerLoad, r Request) float64 {
	switch {
	case !p.mixed || !r.NewPrompt && !r.Protected:
		return 0
	case !r.NewPrompt:
		return p.movePenalty(n, load, r.Handoff)
	case r.Protected:
		return p.longPenalty(n, load)
	default:
		return p.shortPenalty(n, load)
	}
}

// shortPenalty is the penalty for a new answer that is short or has no gap target.
func (p *Planner) shortPenalty(n api.ServerName, load api.ServerLoad) float64 {
	switch role := p.Role(n); {
	case p.Resilient(n):
		return shortResilient
	case role == Prefill:
		return shortPrefillStream * float64(min(load.Protected, maxShortPrefillStreams))
	case role == Any:
		return unreadPenalty(load, besideUnread)
	case load.Protected > 0:
		return delayPenalty(load)
	default:
		return shortDecode
	}
}

// longPenalty is the penalty for a new long answer.
func (p *Planner) longPenalty(n api.ServerName, load api.ServerLoad) float64 {
	switch role := p.Role(n); {
	case p.Resilient(n):
		return 0
	case role == Prefill:
		return longPrefill
	case role == Any:
		return unreadPenalty(load, besideUnread)
	case load.Protected > 0:
		return delayPenalty(load)
	case load.Unread > 0:
		return longDecodeUnread
	default:
		return longDecode
	}
}

// movePenalty is the penalty for a running long answer that moves.
func (p *Planner) movePenalty(n api.ServerName, load api.ServerLoad, handoff bool) float64 {
	switch role := p.Role(n); {
	case p.Resilient(n) && handoff:
		return handoffResilient
	case p.Resilient(n):
		return 0
	case role == Prefill:
		return movePrefill
	case role == Any:
		return moveUnknown
	default:
		return unreadPenalty(load, moveUnread)
	}
}

// unreadPenalty returns a penalty for engines with unread prompts, and zero for others.
func unreadPenalty(load api.ServerLoad, x float64) float64 {
	if load.Unread > 0 {
		return x
	}
	return 0
}

// delayPenalty is the penalty for a prompt that delays protected streams.
func delayPenalty(load api.ServerLoad) float64 {
	return delayed + delayedStream*float64(min(load.Protected, maxDelayedStreams))
}

// maxResilientUsed is the share of the resilient engines' memory above which long answers are
// handed off from them, so that they keep room for prompts.
const maxResilientUsed = 0.6

// Handoff reports whether a long answer should leave the engine that prefilled it.
func (p *Planner) Handoff(n api.ServerName) bool {
	switch {
	case !p.mixed:
		return false
	case p.Role(n) == Prefill:
		return true
	default:
		return p.Resilient(n) && p.resilientUsed > maxResilientUsed
	}
}

// Times after which a refused handoff is asked for again. Streams at prefill engines are in
// the most danger of becoming late.
const (
	retryFromPrefill   = 150 * time.Millisecond
	retryFromResilient = 600 * time.Millisecond
	retryFromUnknown   = 300 * time.Millisecond
)

// HandoffRetry returns after what time a refused handoff from an engine is asked for again, or
// false if it should not be.
func (p *Planner) HandoffRetry(n api.ServerName) (time.Duration, bool) {
	switch {
	case !p.mixed:
		return 0, false
	case p.Resilient(n):
		return retryFromResilient, true
	case p.Role(n) == Prefill:
		return retryFromPrefill, true
	case p.Role(n) == Any:
		return retryFromUnknown, true
	default:
		return 0, false
	}
}

// handoffInterval is the time between two handoffs from or to one engine. Copying the memory of a
// prompt takes most of it; a final copy, for which the run is stopped, must not queue behind the
// copy of another run.
const handoffInterval = 400 * time.Millisecond

// CanHandOff reports whether another handoff may begin from or to an engine.
func (p *Planner) CanHandOff(now time.Time, n api.ServerName) bool {
	t, ok := p.handoffs[n]
	return !ok || now.Sub(t) >= handoffInterval
}

// RecordHandoff records that a handoff from one engine to another begins.
func (p *Planner) RecordHandoff(now time.Time, from, to api.ServerName) {
	p.handoffs[from], p.handoffs[to] = now, now
}
