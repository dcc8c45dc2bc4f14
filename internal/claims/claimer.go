package claims

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/claim"
	"github.com/wardridge/wardridge/internal/decide/lease"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/httpstatus"
	"github.com/wardridge/wardridge/internal/metric"
)

// Store is the part of the platform that stores claims.
type Store interface {
	Get(ctx context.Context, k api.ResourceKind, n string) (api.Object, error)
	Put(ctx context.Context, o api.Object) (api.Object, error)
	// PutConfirmed writes like Put and, if the answer is lost, reads the object back to
	// find out whether the write took effect.
	PutConfirmed(ctx context.Context, o api.Object) (api.Object, error)
}

// Peers calls the other entry VMs and tracks their state.
type Peers interface {
	// Release requests the entry VM that owns a claim to release its attempt, and reports
	// whether the attempt was not sent and never will be.
	Release(ctx context.Context, vm api.VMName, q api.AttemptQuery) (bool, error)
	// ClaimsRewritten reports whether all other entry VMs have rewritten their claims in an era.
	ClaimsRewritten(e api.Era) bool
}

// Answer is the answer to a claimed request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claimer claims requests for one incarnation of an entry VM.
type Claimer struct {
	owner          lease.Owner
	store          Store
	peers          Peers
	log            *event.Log
	metrics        *metric.Set
	maxAnswerBytes int
	now            clock.Now

	mutex    sync.Mutex
	attempts *claim.Attempts
	eras     claim.EraTracker
	// rewriteDue is set while claims have to be rewritten, since the platform was restored from a
	// backup.
	rewriteDue bool
	// rewrittenEra is the last era in which all claims were rewritten.
	rewrittenEra api.Era
}

// New creates a claimer that stores answers of at most limit bytes. The clock now has to advance
// while the VM is suspended.
func New(o lease.Owner, s Store, p Peers, limit int, now clock.Now, l *event.Log, m *metric.Set) *Claimer {
	return &Claimer{owner: o, store: s, peers: p, maxAnswerBytes: limit, now: now, log: l, metrics: m, attempts: claim.NewAttempts(o.Incarnation)}
}

// Name returns the name of the claim for an idempotency key of a workspace.
func Name(w api.WorkspaceName, key string) string {
	h := sha256.Sum256([]byte(string(w) + "\x00" + key))
	return hex.EncodeToString(h[:])
}

// RequestHash returns a hash that distinguishes different requests with the same key.
func RequestHash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Permit is the right to send one request.
type Permit struct {
	claimer *Claimer
	name    string
	spec    api.ClaimSpec
	version api.Version
	// validUntil is when the claim stops allowing the request to be sent.
	validUntil time.Time
}

// Claim claims a request. It returns a permit to send it, or the stored answer of an earlier
// attempt, or an error.
func (k *Claimer) Claim(ctx context.Context, name string, s api.ClaimSpec) (*Permit, *Answer, error) {
	s.Owner = k.owner.VM
	s.Incarnation = k.owner.Incarnation
	s.CreatedMS = api.UnixMilliseconds(time.Now())
	if !k.settled() {
		return nil, nil, k.refuse(s, name, claim.UnsettledError())
	}
	k.addAttempt(s.Request)
	p, a, err := k.execute(ctx, name, s)
	if p == nil {
		k.removeAttempt(s.Request)
	}
	return p, a, err
}

// execute carries out the actions of the claim's state machine until it ends with a permit, a
// stored answer or an error.
func (k *Claimer) execute(ctx context.Context, name string, s api.ClaimSpec) (*Permit, *Answer, error) {
	c := claim.New(s)
	m := c.Begin()
	p := &Permit{claimer: k, name: name, spec: s}
	for {
		switch m.Kind {
		case claim.Create, claim.TakeOver:
			m = c.HandleWrite(k.write(ctx, p, m))
		case claim.Read:
			m = k.read(ctx, p, c)
		case claim.RequestRelease:
			m = c.HandleRelease(k.requestRelease(ctx, name, m.Spec), m.Version)
		case claim.Abandon:
			k.setClaim(p)
			p.Abandon(ctx)
			return nil, nil, k.refuse(s, name, m.Fault)
		case claim.Send:
			k.setClaim(p)
			k.metrics.Add(metric.ClaimsMade, 1)
			k.log.Emit(event.ClaimMade, zap.String("request", string(s.Request)), zap.String("claim", name))
			return p, nil, nil
		case claim.Replay:
			a, err := storedAnswer(m.Spec)
			k.metrics.Add(metric.ClaimsReplayed, 1)
			return nil, a, err
		default:
			return nil, nil, k.refuse(s, name, m.Fault)
		}
	}
}

// refuse counts and logs a refusal and returns its error.
func (k *Claimer) refuse(s api.ClaimSpec, name string, f *fault.Error) error {
	k.metrics.Add(metric.ClaimsRefused, 1)
	k.log.Emit(event.ClaimRefused, zap.String("request", string(s.Request)), zap.String("claim", name), zap.Error(f))
	return f
}

// setClaim records the claim that was written for an attempt.
func (k *Claimer) setClaim(p *Permit) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.SetClaim(p.spec.Request, claim.Record{Name: p.name, Spec: p.spec})
}

// write writes the claim of an action and classifies the result. The validity of the
// permit counts from before the write.
func (k *Claimer) write(ctx context.Context, p *Permit, m claim.Action) claim.WriteResult {
	k.metrics.Add(metric.PlatformWrites, 1)
	p.validUntil = k.now().Add(claim.PermitDuration)
	o, err := k.put(ctx, p.name, m.Spec, m.Version, k.store.Put)
	switch {
	case err == nil:
		p.spec, p.version = m.Spec, o.Version
		if !k.observe(o.Version) {
			return claim.WriteUnsettled
		}
		return claim.WriteDone
	case fault.Has(err, fault.VersionConflict):
		return claim.WriteConflict
	case fault.Has(err, fault.NotStarted), fault.Has(err, fault.PlatformDown), fault.Has(err, fault.PlatformThrottled):
		return claim.WriteRefused
	default:
		k.log.Emit(event.ClaimReadBack, zap.String("claim", p.name), zap.Error(err))
		return claim.WriteUnknown
	}
}

// putFunc is Store.Put or Store.PutConfirmed.
type putFunc func(ctx context.Context, o api.Object) (api.Object, error)

// put writes a claim with the given function.
func (k *Claimer) put(ctx context.Context, name string, s api.ClaimSpec, v api.Version, f putFunc) (api.Object, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return api.Object{}, fault.Wrap(fault.Internal, err, "encoding a claim")
	}
	return f(ctx, api.Object{Kind: api.ResourceKindClaim, Name: name, Version: v, Spec: b})
}

// read reads the claim's object from the platform and returns the next action.
func (k *Claimer) read(ctx context.Context, p *Permit, c *claim.Claim) claim.Action {
	k.metrics.Add(metric.PlatformReads, 1)
	o, err := k.store.Get(ctx, api.ResourceKindClaim, p.name)
	if fault.Has(err, fault.NotFound) {
		return c.HandleRead(false, api.ClaimSpec{}, 0, true)
	}
	var s api.ClaimSpec
	if err == nil {
		err = json.Unmarshal(o.Spec, &s)
	}
	if err != nil {
		return c.HandleReadError()
	}
	p.version = o.Version
	return c.HandleRead(true, s, o.Version, k.observe(o.Version))
}

// requestRelease requests the owner of a claim to release its attempt, and reports whether the
// attempt was not sent and never will be. It does not call the owner if that is this entry VM.
func (k *Claimer) requestRelease(ctx context.Context, name string, s api.ClaimSpec) bool {
	q := api.AttemptQuery{Protocol: member.Protocol, Claim: name, Request: s.Request, Incarnation: s.Incarnation}
	if s.Owner == k.owner.VM {
		return k.Release(q)
	}
	ok, err := k.peers.Release(ctx, s.Owner, q)
	return err == nil && ok
}

// Release releases a local attempt at the request of another entry VM. It reports whether the
// attempt was not sent and never will be.
func (k *Claimer) Release(q api.AttemptQuery) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.attempts.Release(q.Request, q.Incarnation)
}

// storedAnswer decodes the answer in a claim. It fails if the answer was too large to be stored, or has no valid
// status.
func storedAnswer(s api.ClaimSpec) (*Answer, error) {
	b, err := base64.StdEncoding.DecodeString(s.Answer)
	if err != nil || !httpstatus.IsFinal(s.Status) {
		f := fault.New(fault.ClaimHeld, "an earlier attempt with this key was answered; its answer is not stored")
		return nil, f.WithRan(api.RanYes)
	}
	return &Answer{Status: s.Status, ContentType: s.ContentType, Body: b}, nil
}

func (k *Claimer) addAttempt(r api.RequestID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.Add(r)
	k.metrics.Set(metric.ClaimAttemptsInMemory, int64(k.attempts.Len()))
}

func (k *Claimer) removeAttempt(r api.RequestID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.Remove(r)
	k.metrics.Set(metric.ClaimAttemptsInMemory, int64(k.attempts.Len()))
}

// TrySend reports whether the request may be sent, and if so marks it as sent, so that further
// calls report false. It must be called immediately before the send.
func (p *Permit) TrySend() bool {
	p.claimer.mutex.Lock()
	defer p.claimer.mutex.Unlock()
	return p.claimer.now().Before(p.validUntil) && p.claimer.attempts.TrySend(p.spec.Request)
}

// MarkUnsent revokes a send that certainly reached no server, so that the request may be sent to
// another server under the same claim.
func (p *Permit) MarkUnsent() {
	p.claimer.addAttempt(p.spec.Request)
}

// Abandon records that the request was not run, so that the caller may retry it.
func (p *Permit) Abandon(ctx context.Context) {
	s := p.spec
	s.State = api.ClaimStateAbandoned
	p.record(ctx, s)
}

// RecordAnswer records that the request is done, with its answer if that is not too large.
func (p *Permit) RecordAnswer(ctx context.Context, a Answer) {
	s := p.spec
	s.State = api.ClaimStateDone
	if len(a.Body) <= p.claimer.maxAnswerBytes {
		s.Status = a.Status
		s.ContentType = a.ContentType
		s.Answer = base64.StdEncoding.EncodeToString(a.Body)
	}
	p.record(ctx, s)
}

// record writes the outcome to the platform. If that fails, the claim stays held, so that the
// request is never sent again.
func (p *Permit) record(ctx context.Context, s api.ClaimSpec) {
	k := p.claimer
	k.mutex.Lock()
	k.attempts.SetOutcome(s.Request, s)
	k.mutex.Unlock()
	k.metrics.Add(metric.PlatformWrites, 1)
	o, err := k.put(ctx, p.name, s, p.version, k.store.PutConfirmed)
	if err != nil {
		k.log.Emit(event.ClaimNotRecorded, zap.String("request", string(s.Request)), zap.Error(err))
		return
	}
	k.observe(o.Version)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.MarkRecorded(k.now(), s.Request)
	k.metrics.Set(metric.ClaimAttemptsInMemory, int64(k.attempts.Len()))
}
