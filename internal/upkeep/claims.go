package upkeep

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// sweepInterval is the time between two sweeps for expired claims.
const sweepInterval = time.Minute

// maxRemovedPerSweep limits the claims removed in one sweep.
const maxRemovedPerSweep = 200

// sweep removes claims that are older than claimRetention. Their age is counted from the
// wall clock of the VM that made them. A caller has to retry within this time.
func (k *Worker) sweep(ctx context.Context) {
	now := time.Now()
	if now.Sub(k.lastSweep) < sweepInterval {
		return
	}
	k.lastSweep = now
	k.metrics.Add(metric.PlatformReads, 1)
	l, err := k.store.List(ctx, []api.ResourceKind{api.ResourceKindClaim})
	if err != nil {
		return
	}
	n := 0
	for _, o := range l.Items {
		if n < maxRemovedPerSweep && k.expired(now, o) && k.remove(ctx, o) {
			n++
		}
	}
	if n > 0 {
		k.log.Emit(event.ClaimRemoved, zap.Int("claims", n))
	}
}

func (k *Worker) expired(now time.Time, o api.Object) bool {
	var s api.ClaimSpec
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(int64(s.CreatedMS))) > k.claimRetention
}

func (k *Worker) remove(ctx context.Context, o api.Object) bool {
	if _, ok := k.leader.Held(); !ok {
		return false
	}
	k.metrics.Add(metric.PlatformWrites, 1)
	return k.store.Delete(ctx, o.Kind, o.Name, o.Version) == nil
}
