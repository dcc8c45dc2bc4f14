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
func (w *Worker) sweep(ctx context.Context) {
	now := time.Now()
	if now.Sub(w.lastSweep) < sweepInterval {
		return
	}
	w.lastSweep = now
	w.metrics.Add(metric.PlatformReads, 1)
	l, err := w.store.List(ctx, []api.ResourceKind{api.ResourceKindClaim})
	if err != nil {
		return
	}
	n := 0
	for _, o := range l.Items {
		if n < maxRemovedPerSweep && w.expired(now, o) && w.remove(ctx, o) {
			n++
		}
	}
	if n > 0 {
		w.log.Emit(event.ClaimRemoved, zap.Int("claims", n))
	}
}

func (w *Worker) expired(now time.Time, o api.Object) bool {
	var s api.ClaimSpec
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(int64(s.CreatedMS))) > w.claimRetention
}

func (w *Worker) remove(ctx context.Context, o api.Object) bool {
	if _, ok := w.leader.Held(); !ok {
		return false
	}
	w.metrics.Add(metric.PlatformWrites, 1)
	return w.store.Delete(ctx, o.Kind, o.Name, o.Version) == nil
}
