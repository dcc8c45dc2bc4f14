package claim

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Kind tells what to do next for a claimed request.
type Kind int

// Kinds of moves.
const (
	// Create creates the claim's object with Spec if there is none.
	Create Kind = iota
	// Read reads the claim's object.
	Read
	// RequestRelease asks the claim's owner to give an unsent attempt up.
	RequestRelease
	// TakeOver replaces the claim at Version by Spec.
	TakeOver
	// Send sends the request, if the attempt is still allowed to.
	Send
	// Replay answers with the kept answer of the first attempt.
	Replay
	// Refuse answers with Fault.
	Refuse
	// Abandon records that the request was not sent, and answers with Fault.
	Abandon
	// NoChange leaves the object as it is.
	NoChange
)

// Action is the next thing to do.
type Action struct {
	Kind    Kind
	Spec    api.ClaimSpec
	Version api.Version
	Fault   *fault.Error
}

// WriteResult is the outcome of a conditional write.
type WriteResult int

// Outcomes of writes.
const (
	// WriteDone means that the write took effect.
	WriteDone WriteResult = iota
	// WriteConflict means that the object is not at the version expected.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may yet.
	WriteUnknown
	// WriteRefused means that the write did not and will not take effect.
	WriteRefused
	// WriteUnsettled means that the write took effect, in an era in which owners may not have written
	// again yet what the platform has lost.
	WriteUnsettled
)

// retryAfter is when a caller may ask again about a claim that is held.
const retryAfter = 2 * time.Second

// maxReads bounds how often a claim that changes under the reader is read.
const maxReads = 4

// Claim is the course of one request's claim.
type Claim struct {
	spec             api.ClaimSpec
	readsLeft        int
	releaseRequested bool
}

// New starts the course of a claim with the record that this attempt wants.
func New(s api.ClaimSpec) *Claim {
	s.State = api.ClaimStateClaimed
	return &Claim{spec: s, readsLeft: maxReads}
}

// Begin gives the first move.
func (c *Claim) Begin() Action {
	return Action{Kind: Create, Spec: c.spec}
}

// HandleWrite takes the outcome of a create or a take-over.
func (c *Claim) HandleWrite(w WriteResult) Action {
	switch w {
	case WriteDone:
		return Action{Kind: Send}
	case WriteRefused:
		return c.refuseUnavailable()
	case WriteUnsettled:
		return c.abandon()
	default:
		return c.read()
	}
}

func (c *Claim) read() Action {
	if c.readsLeft == 0 {
		return c.refuseUnavailable()
	}
	c.readsLeft--
	return Action{Kind: Read}
}

// UnsettledError refuses a request while claims may be lost that come before its own; nothing of
// it was sent.
func UnsettledError() *fault.Error {
	return fault.New(fault.ClaimUnavailable, "the platform came back from a copy; claims are being written again, and the request was not sent").After(retryAfter)
}

// refuseUnavailable refuses a request of which nothing was sent.
func (c *Claim) refuseUnavailable() Action {
	f := fault.New(fault.ClaimUnavailable, "the claim could not be recorded; the request was not sent")
	return Action{Kind: Refuse, Fault: f.After(retryAfter)}
}

// abandon gives a claim up that another one may have come before.
func (c *Claim) abandon() Action {
	m := c.refuseUnavailable()
	m.Kind, m.Spec = Abandon, c.spec
	m.Spec.State = api.ClaimStateAbandoned
	return m
}

// HandleReadError notes that the object could not be read.
func (c *Claim) HandleReadError() Action {
	return c.refuseUnavailable()
}

// HandleRead takes the object as read; exists is false for none, and settled is false where
// another claim may have come before it that the platform has lost.
func (c *Claim) HandleRead(exists bool, s api.ClaimSpec, v api.Version, settled bool) Action {
	if !exists {
		// The write may yet land; it is this attempt's and was not sent.
		return c.refuseUnavailable()
	}
	if c.owns(s) {
		if !settled {
			return c.abandon()
		}
		return Action{Kind: Send}
	}
	if s.BodyHash != c.spec.BodyHash || s.Workspace != c.spec.Workspace {
		f := fault.New(fault.ReusedKey, "the idempotency key was used for another request")
		return Action{Kind: Refuse, Fault: f}
	}
	switch s.State {
	case api.ClaimStateDone:
		return Action{Kind: Replay, Spec: s}
	case api.ClaimStateAbandoned:
		return Action{Kind: TakeOver, Spec: c.spec, Version: v}
	default:
		return c.requestRelease(s, v)
	}
}

func (c *Claim) owns(s api.ClaimSpec) bool {
	return s.State == api.ClaimStateClaimed && s.Owner == c.spec.Owner &&
		s.Incarnation == c.spec.Incarnation && s.Request == c.spec.Request
}

func (c *Claim) requestRelease(s api.ClaimSpec, v api.Version) Action {
	if c.releaseRequested {
		return c.refuseHeld()
	}
	c.releaseRequested = true
	return Action{Kind: RequestRelease, Spec: s, Version: v}
}

// refuseHeld refuses because an earlier attempt may have run or may yet run.
func (c *Claim) refuseHeld() Action {
	f := fault.New(fault.ClaimHeld, "an earlier attempt with this key has no known outcome")
	return Action{Kind: Refuse, Fault: f.After(retryAfter)}
}

// HandleRelease takes the owner's answer; released is true only if the owner's
// attempt was not sent and never will be.
func (c *Claim) HandleRelease(released bool, v api.Version) Action {
	if !released {
		return c.refuseHeld()
	}
	c.releaseRequested = false
	return Action{Kind: TakeOver, Spec: c.spec, Version: v}
}
