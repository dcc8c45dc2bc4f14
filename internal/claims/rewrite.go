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

// EnterEra records the platform's era. If it is later than the one known before, the claims of this
// entry VM are rewritten: no other VM knows the ones that the platform has lost, and a request
// whose claim is lost could be sent a second time.
func (k *Claimer) EnterEra(e api.Era) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.enterEra(e)
}

// enterEra implements EnterEra; the caller holds the mutex.
func (k *Claimer) enterEra(e api.Era) {
	if k.eras.Enter(k.now(), e) {
		k.rewriteDue = true
	}
}

// observe records the era of a version and reports whether the claims on the platform are complete
// in it.
func (k *Claimer) observe(v api.Version) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.enterEra(v.Era())
	return k.eras.Settled(k.now(), k.peers.ClaimsRewritten)
}

// settled reports whether the claims on the platform are complete, so that requests may be
// claimed.
func (k *Claimer) settled() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.eras.Settled(k.now(), k.peers.ClaimsRewritten)
}

const (
	// rewriteInterval is the time between checks whether claims have to be rewritten, a small part
	// of the time in which that has to be done.
	rewriteInterval = 200 * time.Millisecond
	// rewriteTimeout bounds the rewrite of one claim with all its calls.
	rewriteTimeout = 2 * time.Second
)

// Run returns the duty that rewrites claims which the platform may have lost, and forgets attempts
// whose outcomes are in every backup of the platform. The function answered returns for how long
// the platform has answered without a failure.
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

// takeDue returns the platform's era and the claims to rewrite. It returns each claim once after
// each restore or failed rewrite, and otherwise drops expired attempts.
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

// finishRewrite records that all claims were rewritten in an era, unless a rewrite is due again.
func (k *Claimer) finishRewrite(e api.Era) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.rewriteDue {
		k.rewrittenEra = e
	}
}

// RewrittenEra returns the last era in which this entry VM has rewritten its claims.
func (k *Claimer) RewrittenEra() api.Era {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.rewrittenEra
}

// rewrite writes one claim if the platform lacks it or has an earlier state of it.
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

// scheduleRewrite makes all claims due for a rewrite.
func (k *Claimer) scheduleRewrite() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.rewriteDue = true
}

// compare reads a claim from the platform and decides how to rewrite it.
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

// displace requests the owner of a later claim for the same key to release its attempt, so that the
// claim r can replace it. If the owner does not, nothing changes and the conflict is logged.
func (k *Claimer) displace(ctx context.Context, r claim.Record, m claim.Action) claim.Action {
	if k.requestRelease(ctx, r.Name, m.Spec) {
		return claim.Action{Kind: claim.TakeOver, Spec: r.Spec, Version: m.Version}
	}
	k.log.Emit(event.ClaimHeldTwice, zap.String("request", string(r.Spec.Request)), zap.String("other", string(m.Spec.Request)), zap.String("claim", r.Name))
	return claim.Action{Kind: claim.NoChange}
}
