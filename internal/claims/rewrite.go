package claims

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/claim"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// EnterEra notes the platform's era. A later one than was known has the claims of this entry
// VM written again: nobody else knows of those that the platform has lost, and a request
// whose claim is gone would be sent a second time.
func (k *Claimer) EnterEra(e api.Era) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.enterEra(e)
}

// enterEra is Enter under the mutex.
func (k *Claimer) enterEra(e api.Era) {
	if k.eras.Enter(k.now(), e) {
		k.rewriteDue = true
	}
}

// observe notes the era of a version and reports whether claims of it can be relied on.
func (k *Claimer) observe(v api.Version) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.enterEra(v.Era())
	return k.eras.Settled(k.now(), k.peers.ClaimsRewritten)
}

// settled reports whether requests may be claimed.
func (k *Claimer) settled() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.eras.Settled(k.now(), k.peers.ClaimsRewritten)
}

const (
	// rewriteInterval is the pause between looks whether claims were lost, a small part of the time
	// in which they have to be written again.
	rewriteInterval = 200 * time.Millisecond
	// rewriteTimeout bounds the calls for one claim.
	rewriteTimeout = 2 * time.Second
)

// Run is the duty that writes claims again which the platform has lost, and forgets those that
// no copy of it can lack; answered is for how long it has answered.
func (k *Claimer) Run(answered func() time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		return duty.Loop(ctx, func() time.Duration { return rewriteInterval }, func(ctx context.Context) {
			e, l := k.takeDue(answered())
			for _, r := range l {
				k.rewrite(ctx, r)
			}
			k.finishRewrite(e)
		})
	}
}

// takeDue gives the claims to write again, once after each time that the platform came back, and
// its era.
func (k *Claimer) takeDue(answered time.Duration) (api.Era, []claim.Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.rewriteDue {
		k.attempts.Expire(k.now(), answered)
		return k.eras.Era(), nil
	}
	k.rewriteDue = false
	return k.eras.Era(), k.attempts.Records()
}

// finishRewrite notes that all claims have been looked through in an era, unless one has to be again.
func (k *Claimer) finishRewrite(e api.Era) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.rewriteDue {
		k.rewrittenEra = e
	}
}

// RewrittenEra is the era in which this entry VM has written its claims again.
func (k *Claimer) RewrittenEra() api.Era {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.rewrittenEra
}

// rewrite writes one claim again, where the platform lacks it or has it in an earlier form.
func (k *Claimer) rewrite(ctx context.Context, r claim.Record) {
	c, cancel := context.WithTimeout(ctx, rewriteTimeout)
	defer cancel()
	m, err := k.compare(c, r)
	if err == nil && m.Kind == claim.RequestRelease {
		m = k.displace(c, r, m)
	}
	if err == nil && (m.Kind == claim.Create || m.Kind == claim.TakeOver) {
		k.metrics.Add(metric.PlatformWrites, 1)
		_, err = k.put(c, r.Name, m.Spec, m.Version, k.store.PutConfirmed)
	}
	if err != nil {
		k.log.Emit(event.ClaimNotRecorded, zap.String("request", string(r.Spec.Request)), zap.Error(err))
		k.scheduleRewrite()
		return
	}
	if m.Kind != claim.NoChange {
		k.log.Emit(event.ClaimRewritten, zap.String("request", string(r.Spec.Request)), zap.String("claim", r.Name), zap.String("state", string(m.Spec.State)))
	}
}

// scheduleRewrite has the claims looked through once more.
func (k *Claimer) scheduleRewrite() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.rewriteDue = true
}

// compare decides what to do about one claim by what the platform has.
func (k *Claimer) compare(ctx context.Context, r claim.Record) (claim.Action, error) {
	k.metrics.Add(metric.PlatformReads, 1)
	o, err := k.store.Get(ctx, api.ResourceKindClaim, r.Name)
	if fault.Has(err, fault.NotFound) {
		return claim.Rewrite(r.Spec, false, api.ClaimSpec{}, 0), nil
	}
	if err != nil {
		return claim.Action{}, err
	}
	var s api.ClaimSpec
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return claim.Action{}, fault.Wrap(fault.InvalidResource, err, "reading a claim")
	}
	return claim.Rewrite(r.Spec, true, s, o.Version), nil
}

// displace asks the owner of a claim that came after this one to give its attempt up unsent.
func (k *Claimer) displace(ctx context.Context, r claim.Record, m claim.Action) claim.Action {
	if k.requestRelease(ctx, r.Name, m.Spec) {
		return claim.Action{Kind: claim.TakeOver, Spec: r.Spec, Version: m.Version}
	}
	k.log.Emit(event.ClaimHeldTwice, zap.String("request", string(r.Spec.Request)), zap.String("other", string(m.Spec.Request)), zap.String("claim", r.Name))
	return claim.Action{Kind: claim.NoChange}
}
