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
	"github.com/wardridge/wardridge/internal/metric"
)

// Store is where claims are kept.
type Store interface {
	Get(ctx context.Context, k api.ResourceKind, n string) (api.Object, error)
	Put(ctx context.Context, o api.Object) (api.Object, error)
	PutConfirmed(ctx context.Context, o api.Object) (api.Object, error)
}

// Peers asks other entry VMs.
type Peers interface {
	Release(ctx context.Context, vm api.VMName, q api.AttemptQuery) (bool, error)
	// Rewritten reports whether all of them have written their claims again in an era.
	Rewritten(e api.Era) bool
}

// Answer is the answer of a claimed request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Keeper makes claims for one life of an entry VM.
type Keeper struct {
	owner   lease.Owner
	store   Store
	peers   Peers
	log     *event.Log
	metrics *metric.Set
	limit   int
	now     clock.Now

	mutex    sync.Mutex
	attempts *claim.Attempts
	eras     claim.EraTracker
	// lost is set while claims are to be written again, since the platform came back from a
	// copy.
	lost bool
	// rewritten is the era in which they have been.
	rewritten api.Era
}

// New makes a keeper that keeps answers of at most limit bytes; now has to be a clock that
// goes on while the VM is suspended.
func New(o lease.Owner, s Store, p Peers, limit int, now clock.Now, l *event.Log, m *metric.Set) *Keeper {
	return &Keeper{owner: o, store: s, peers: p, limit: limit, now: now, log: l, metrics: m, attempts: claim.NewAttempts(o.Incarnation)}
}

// Name names the claim of a workspace's idempotency key.
func Name(w api.WorkspaceName, key string) string {
	h := sha256.Sum256([]byte(string(w) + "\x00" + key))
	return hex.EncodeToString(h[:])
}

// Hash tells requests with the same key apart.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Permit is the right to send one request.
type Permit struct {
	keeper  *Keeper
	name    string
	spec    api.ClaimSpec
	version api.Version
	// until is when the claim no longer allows to send.
	until time.Time
}

// Make claims a request. It gives a permit, or the kept answer of an earlier
// attempt, or a fault.
func (k *Keeper) Make(ctx context.Context, name string, s api.ClaimSpec) (*Permit, *Answer, error) {
	s.Owner = k.owner.VM
	s.Incarnation = k.owner.Incarnation
	s.CreatedMS = api.UnixMilliseconds(time.Now())
	if !k.settled() {
		return nil, nil, k.refused(s, name, claim.UnsettledError())
	}
	k.add(s.Request)
	p, a, err := k.course(ctx, name, s)
	if p == nil {
		k.remove(s.Request)
	}
	return p, a, err
}

// course carries out the moves that the claim's decisions ask for.
func (k *Keeper) course(ctx context.Context, name string, s api.ClaimSpec) (*Permit, *Answer, error) {
	c := claim.New(s)
	m := c.Begin()
	p := &Permit{keeper: k, name: name, spec: s}
	for {
		switch m.Kind {
		case claim.Create, claim.TakeOver:
			m = c.HandleWrite(k.write(ctx, p, m))
		case claim.Read:
			m = k.read(ctx, p, c)
		case claim.RequestRelease:
			m = c.HandleRelease(k.ask(ctx, name, m.Spec), m.Version)
		case claim.Abandon:
			k.claimed(p)
			p.Abandon(ctx)
			return nil, nil, k.refused(s, name, m.Fault)
		case claim.Send:
			k.claimed(p)
			k.metrics.Add(metric.ClaimsMade, 1)
			k.log.Emit(event.ClaimMade, zap.String("request", string(s.Request)), zap.String("claim", name))
			return p, nil, nil
		case claim.Replay:
			a, err := kept(m.Spec)
			k.metrics.Add(metric.ClaimsReplayed, 1)
			return nil, a, err
		default:
			return nil, nil, k.refused(s, name, m.Fault)
		}
	}
}

// refused counts and logs a refusal.
func (k *Keeper) refused(s api.ClaimSpec, name string, f *fault.Error) error {
	k.metrics.Add(metric.ClaimsRefused, 1)
	k.log.Emit(event.ClaimRefused, zap.String("request", string(s.Request)), zap.String("claim", name), zap.Error(f))
	return f
}

// claimed remembers a claim that was written.
func (k *Keeper) claimed(p *Permit) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.SetClaim(p.spec.Request, claim.Record{Name: p.name, Spec: p.spec})
}

func (k *Keeper) write(ctx context.Context, p *Permit, m claim.Action) claim.WriteResult {
	k.metrics.Add(metric.PlatformWrites, 1)
	p.until = k.now().Add(claim.PermitDuration)
	o, err := k.put(ctx, p.name, m.Spec, m.Version, k.store.Put)
	switch {
	case err == nil:
		p.spec, p.version = m.Spec, o.Version
		if !k.seen(o.Version) {
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

type put func(ctx context.Context, o api.Object) (api.Object, error)

func (k *Keeper) put(ctx context.Context, name string, s api.ClaimSpec, v api.Version, f put) (api.Object, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return api.Object{}, fault.Wrap(fault.Internal, err, "encoding a claim")
	}
	return f(ctx, api.Object{Kind: api.ResourceKindClaim, Name: name, Version: v, Spec: b})
}

func (k *Keeper) read(ctx context.Context, p *Permit, c *claim.Claim) claim.Action {
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
	return c.HandleRead(true, s, o.Version, k.seen(o.Version))
}

// ask asks the owner of a claim to give its attempt up unsent.
func (k *Keeper) ask(ctx context.Context, name string, s api.ClaimSpec) bool {
	q := api.AttemptQuery{Protocol: member.Protocol, Claim: name, Request: s.Request, Incarnation: s.Incarnation}
	if s.Owner == k.owner.VM {
		return k.Release(q)
	}
	ok, err := k.peers.Release(ctx, s.Owner, q)
	return err == nil && ok
}

// Release gives an own unsent attempt up for another entry VM; it reports
// whether the attempt was not sent and never will be.
func (k *Keeper) Release(q api.AttemptQuery) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.attempts.Release(q.Request, q.Incarnation)
}

func kept(s api.ClaimSpec) (*Answer, error) {
	b, err := base64.StdEncoding.DecodeString(s.Answer)
	if err != nil || s.Status == 0 {
		f := fault.New(fault.ClaimHeld, "an earlier attempt with this key was answered; its answer is not kept")
		return nil, f.WithRan(api.RanYes)
	}
	return &Answer{Status: s.Status, ContentType: s.ContentType, Body: b}, nil
}

func (k *Keeper) add(r api.RequestID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.Add(r)
	k.metrics.Set(metric.ClaimAttemptsInMemory, int64(k.attempts.Len()))
}

func (k *Keeper) remove(r api.RequestID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.Remove(r)
	k.metrics.Set(metric.ClaimAttemptsInMemory, int64(k.attempts.Len()))
}

// Send reports whether the request may be sent; it has to be asked at the
// last moment before the send, and says yes once.
func (p *Permit) Send() bool {
	p.keeper.mutex.Lock()
	defer p.keeper.mutex.Unlock()
	return p.keeper.now().Before(p.until) && p.keeper.attempts.TrySend(p.spec.Request)
}

// Unsent takes a send back that provably reached nobody, so that the request
// may be sent elsewhere under the same claim.
func (p *Permit) Unsent() {
	p.keeper.add(p.spec.Request)
}

// Abandon records that the request was not run, so that the caller may ask
// again.
func (p *Permit) Abandon(ctx context.Context) {
	s := p.spec
	s.State = api.ClaimStateAbandoned
	p.record(ctx, s)
}

// Done records the answer of the request.
func (p *Permit) Done(ctx context.Context, a Answer) {
	s := p.spec
	s.State = api.ClaimStateDone
	if len(a.Body) <= p.keeper.limit {
		s.Status = a.Status
		s.ContentType = a.ContentType
		s.Answer = base64.StdEncoding.EncodeToString(a.Body)
	}
	p.record(ctx, s)
}

// record writes the outcome. One that can't be recorded leaves the claim held,
// so that the request is never sent again.
func (p *Permit) record(ctx context.Context, s api.ClaimSpec) {
	k := p.keeper
	k.mutex.Lock()
	k.attempts.SetOutcome(s.Request, s)
	k.mutex.Unlock()
	k.metrics.Add(metric.PlatformWrites, 1)
	o, err := k.put(ctx, p.name, s, p.version, k.store.PutConfirmed)
	if err != nil {
		k.log.Emit(event.ClaimNotRecorded, zap.String("request", string(s.Request)), zap.Error(err))
		return
	}
	k.seen(o.Version)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts.MarkRecorded(k.now(), s.Request)
	k.metrics.Set(metric.ClaimAttemptsInMemory, int64(k.attempts.Len()))
}
