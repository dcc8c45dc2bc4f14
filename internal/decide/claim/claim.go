package claim

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Kind is the kind of an Action.
type Kind int

// Kinds of actions.
const (
	// Create creates the claim's object with Spec, provided that there is none.
	Create Kind = iota
	// Read reads the claim's object.
	Read
	// RequestRelease requests the claim's owner to release its attempt, if that was not sent.
	RequestRelease
	// TakeOver replaces the claim by Spec, provided that it is still at Version.
	TakeOver
	// Send sends the request, provided that the attempt may still be sent.
	Send
	// Replay answers with the stored answer of an earlier attempt, which is in Spec.
	Replay
	// Refuse answers with Fault.
	Refuse
	// Abandon records that the request was not sent, and answers with Fault.
	Abandon
	// NoChange leaves the claim's object as it is.
	NoChange
)

// Action is the next step for a claimed request; Kind decides which of the other fields it uses.
type Action struct {
	Kind    Kind
	Spec    api.ClaimSpec
	Version api.Version
	Fault   *fault.Error
}

// WriteResult is the result of a conditional write of a claim.
type WriteResult int

// Results of writes.
const (
	// WriteDone means that the write took effect.
	WriteDone WriteResult = iota
	// WriteConflict means that the object is not at the expected version.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may still do so.
	WriteUnknown
	// WriteRefused means that the write did not take effect and never will.
	WriteRefused
	// WriteUnsettled means that the write took effect, but in an era in which owners may not
	// yet have rewritten the claims that the platform has lost.
	WriteUnsettled
)

// retryAfter is how long a caller whose request is refused should wait before a retry.
const retryAfter = 2 * time.Second

// maxReads bounds the reads of a claim that changes between the read and the write.
const maxReads = 4

// Claim is the state machine that makes the claim of one request. Begin gives the first
// action; the Handle methods apply the result of an action and return the next one.
type Claim struct {
	spec             api.ClaimSpec
	readsLeft        int
	releaseRequested bool
}

// New makes the state machine of an attempt that is to claim its request by s.
func New(s api.ClaimSpec) *Claim {
	s.State = api.ClaimStateClaimed
	return &Claim{spec: s, readsLeft: maxReads}
}

// Begin gives the first action.
func (c *Claim) Begin() Action {
	return Action{Kind: Create, Spec: c.spec}
}

// HandleWrite applies the result of a create or a take-over and returns the next action.
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

// UnsettledError is the error for a request that is refused before its send, while the platform
// may have lost an earlier claim of the same key.
func UnsettledError() *fault.Error {
	return fault.New(fault.ClaimUnavailable, "the platform was restored from a backup and claims are being rewritten; the request was not sent").WithRetryAfter(retryAfter)
}

// refuseUnavailable refuses a request that was not sent, as it could not be claimed.
func (c *Claim) refuseUnavailable() Action {
	f := fault.New(fault.ClaimUnavailable, "the claim could not be recorded; the request was not sent")
	return Action{Kind: Refuse, Fault: f.WithRetryAfter(retryAfter)}
}

// abandon abandons a claim, since the platform may have lost an earlier one of the same key.
func (c *Claim) abandon() Action {
	m := c.refuseUnavailable()
	m.Kind, m.Spec = Abandon, c.spec
	m.Spec.State = api.ClaimStateAbandoned
	return m
}

// HandleReadError applies a failure to read the claim's object.
func (c *Claim) HandleReadError() Action {
	return c.refuseUnavailable()
}

// HandleRead applies the object as read. If exists is false there is none; if settled is false,
// the platform may have lost an earlier claim of the same key.
func (c *Claim) HandleRead(exists bool, s api.ClaimSpec, v api.Version, settled bool) Action {
	if !exists {
		// The write of this attempt may still take effect. The request was not sent.
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

// refuseHeld refuses a request of which an earlier attempt may have run or may still run.
func (c *Claim) refuseHeld() Action {
	f := fault.New(fault.ClaimHeld, "an earlier attempt with this key has no known outcome")
	return Action{Kind: Refuse, Fault: f.WithRetryAfter(retryAfter)}
}

// HandleRelease applies the owner's answer to a request for release; released is true only if
// the owner's attempt was not sent and never will be.
func (c *Claim) HandleRelease(released bool, v api.Version) Action {
	if !released {
		return c.refuseHeld()
	}
	c.releaseRequested = false
	return Action{Kind: TakeOver, Spec: c.spec, Version: v}
}
