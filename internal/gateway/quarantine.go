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
	// keepTime bounds one call that writes a refused content to the platform; between
	// two of them is a pause that doubles from keepFirst to keepLast.
	keepTime  = time.Second
	keepFirst = 200 * time.Millisecond
	keepLast  = 5 * time.Second
)

// noteBreak takes what the failure of an attempt tells of its content and its server.
func (g *Gateway) noteBreak(q *request, s roster.Server, err error) {
	if !g.departing(s.Name) {
		g.Contents.Broke(q.content, s.Name, err)
	}
}

// judge refuses the contents that have come to be confirmed, and has the platform keep
// them: an entry VM that peers don't reach, or that starts later, learns of them there.
func (g *Gateway) judge() {
	for _, v := range g.Contents.Step() {
		if v.Local && g.Quarantines != nil {
			g.Group.Go(func(ctx context.Context) error {
				g.keepEntry(ctx, v.Entry)
				return nil
			})
		}
	}
}

// keepEntry writes a refused content to the platform, however long that is away.
func (g *Gateway) keepEntry(ctx context.Context, e quarantine.Entry) {
	g.persist(ctx, e.Content, func() bool { return g.Contents.Refused(e.Content) }, func(c context.Context) error { return g.Quarantines.Keep(c, e) })
}

// release removes a content from the platform, however long that is away.
func (g *Gateway) release(ctx context.Context, c api.ContentHash) {
	g.persist(ctx, c, func() bool { return !g.Contents.Refused(c) }, func(x context.Context) error { return g.Quarantines.Release(x, c) })
}

// persist makes a write about a content again until it is done or not wanted any more.
func (g *Gateway) persist(ctx context.Context, c api.ContentHash, wanted func() bool, write func(ctx context.Context) error) {
	for pause := keepFirst; wanted(); pause = min(2*pause, keepLast) {
		x, cancel := context.WithTimeout(ctx, keepTime)
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

// Correct puts the platform's objects right after it came back from a copy; it is for the
// entry VM that follows the platform, so that one writes and not all.
func (g *Gateway) Correct() {
	x := g.Contents.Correct()
	for _, e := range x.Write {
		g.Group.Go(func(ctx context.Context) error {
			g.keepEntry(ctx, e)
			return nil
		})
	}
	for _, c := range x.Release {
		g.Group.Go(func(ctx context.Context) error {
			g.release(ctx, c)
			return nil
		})
	}
	if len(x.Write)+len(x.Release) > 0 {
		g.Log.Emit(event.ContentsCorrected, zap.Int("written", len(x.Write)), zap.Int("released", len(x.Release)))
	}
}

// Quarantine takes the contents that the platform keeps as refused.
func (g *Gateway) Quarantine(s replica.Snapshot[quarantine.Entry]) {
	l := make([]quarantine.Entry, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	g.Contents.Declare(s.At.Era(), l)
	g.Log.Emit(event.ContentDeclared, zap.Int("contents", len(l)), zap.Stringer("version", s.At))
}

// ReleaseExpired removes from the platform what it keeps beyond its time; it is for the
// entry VM that follows the platform.
func (g *Gateway) ReleaseExpired(ctx context.Context) {
	for _, c := range g.Contents.Expired() {
		x, cancel := context.WithTimeout(ctx, keepTime)
		g.Metrics.Add(metric.PlatformWrites, 1)
		err := g.Quarantines.Release(x, c)
		cancel()
		if err != nil {
			g.Log.Emit(event.QuarantineUnkept, zap.String("content", string(c)), zap.Error(err))
		}
	}
}

// ContentReports gives what peers may not know of contents that end servers.
func (g *Gateway) ContentReports() []api.ContentReport {
	return g.Contents.Recent()
}

// MergeContents takes what a peer knows of contents that end servers.
func (g *Gateway) MergeContents(l []api.ContentReport) {
	g.Contents.Merge(l)
}
