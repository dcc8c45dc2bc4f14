package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

const (
	// writeTimeout bounds one call that writes a quarantined content to the platform. The pause
	// before a retry doubles from minWriteBackoff to maxWriteBackoff.
	writeTimeout    = time.Second
	minWriteBackoff = 200 * time.Millisecond
	maxWriteBackoff = 5 * time.Second
)

// content returns the request's content and the shared parts of its prompt, which are the same for
// each attempt of its caller.
func (q *request) content() quarantine.Subjects {
	if q.subjects.Content == "" {
		h := quarantine.Hash(q.workspace.Name, q.Method, q.Host, q.Target, q.Body)
		q.subjects = quarantine.NewSubjects(h, q.Prompt.SharedParts)
	}
	return q.subjects
}

// contentFields are the log fields of the content and of the shared parts of the prompt.
func (q *request) contentFields() []zap.Field {
	return append(q.partFields(), zap.String("content", string(q.content().Content)))
}

// partFields are the log fields of the shared parts of the prompt.
func (q *request) partFields() []zap.Field {
	if len(q.Prompt.SharedParts) == 0 {
		return nil
	}
	return []zap.Field{zap.Any("parts", q.Prompt.SharedParts)}
}

// refusalFields are the log fields of the content of a refused request. There are none if it was
// refused before its content was hashed.
func (q *request) refusalFields() []zap.Field {
	if q.subjects.Content == "" {
		return nil
	}
	return q.contentFields()
}

// recordBrokenRun records a failed run against its content and the parts of its prompt, as the
// possible cause of a crash of the server, with the time since the first event from there. A
// server that is leaving has not crashed.
func (g *Gateway) recordBrokenRun(q *request, s roster.Server, err error, age time.Duration) {
	if !g.departing(s.Name) {
		g.Contents.RecordFailure(q.content, s.Name, err, age)
	}
}

// quarantineConfirmed quarantines the contents that are now confirmed to crash servers, and
// writes those found here to the platform: an entry VM that peers can't reach, or that starts
// later, reads them there.
func (g *Gateway) quarantineConfirmed() {
	for _, v := range g.Contents.Step() {
		if v.Local && g.Quarantines != nil {
			g.Group.Go(func(ctx context.Context) error {
				g.storeQuarantine(ctx, v.Entry)
				return nil
			})
		}
	}
}

// storeQuarantine writes a quarantined content to the platform, and retries while the platform
// is not available.
func (g *Gateway) storeQuarantine(ctx context.Context, e quarantine.Entry) {
	g.retryWrite(ctx, e.Content, func() bool { return g.Contents.Quarantined(e.Content) }, func(c context.Context) error { return g.Quarantines.Put(c, e) })
}

// deleteQuarantine removes a content from the platform, and retries while the platform is not
// available.
func (g *Gateway) deleteQuarantine(ctx context.Context, c api.ContentHash) {
	g.retryWrite(ctx, c, func() bool { return !g.Contents.Quarantined(c) }, func(x context.Context) error { return g.Quarantines.Delete(x, c) })
}

// retryWrite retries a write for a content until it succeeds or is no longer wanted.
func (g *Gateway) retryWrite(ctx context.Context, c api.ContentHash, wanted func() bool, write func(ctx context.Context) error) {
	for pause := minWriteBackoff; wanted(); pause = min(2*pause, maxWriteBackoff) {
		x, cancel := context.WithTimeout(ctx, writeTimeout)
		g.Metrics.Add(metric.PlatformWrites, 1)
		err := write(x)
		cancel()
		if err == nil {
			return
		}
		g.Log.Emit(event.QuarantineUnkept, zap.String("content", string(c)), zap.Error(err))
		if !duty.Sleep(ctx, pause) {
			return
		}
	}
}

// CorrectQuarantines writes and deletes what the platform's quarantines lack or have in excess
// after a restore of its store. Only the entry VM that follows the platform calls it, so that
// not all entry VMs write.
func (g *Gateway) CorrectQuarantines() {
	x := g.Contents.TakeCorrection()
	for _, e := range x.Write {
		g.Group.Go(func(ctx context.Context) error {
			g.storeQuarantine(ctx, e)
			return nil
		})
	}
	for _, c := range x.Release {
		g.Group.Go(func(ctx context.Context) error {
			g.deleteQuarantine(ctx, c)
			return nil
		})
	}
	if len(x.Write)+len(x.Release) > 0 {
		g.Log.Emit(event.ContentsCorrected, zap.Int("written", len(x.Write)), zap.Int("released", len(x.Release)))
	}
}

// SetQuarantines sets the contents that the platform stores as quarantined.
func (g *Gateway) SetQuarantines(s replica.Snapshot[quarantine.Entry]) {
	l := make([]quarantine.Entry, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	g.Contents.ApplySnapshot(s.At.Era(), l)
	g.Log.Emit(event.ContentDeclared, zap.Int("contents", len(l)), zap.Stringer("version", s.At))
}

// DeleteExpiredQuarantines removes from the platform the contents whose quarantine has expired.
// Only the entry VM that follows the platform calls it.
func (g *Gateway) DeleteExpiredQuarantines(ctx context.Context) {
	for _, c := range g.Contents.Expired() {
		x, cancel := context.WithTimeout(ctx, writeTimeout)
		g.Metrics.Add(metric.PlatformWrites, 1)
		err := g.Quarantines.Delete(x, c)
		cancel()
		if err != nil {
			g.Log.Emit(event.QuarantineUnkept, zap.String("content", string(c)), zap.Error(err))
		}
	}
}

// ContentReports returns the recent reports on contents that crash servers, for peers.
func (g *Gateway) ContentReports() []api.ContentReport {
	return g.Contents.RecentReports()
}

// MergeContentReports adds a peer's reports on contents that crash servers.
func (g *Gateway) MergeContentReports(l []api.ContentReport) {
	g.Contents.Merge(l)
}
