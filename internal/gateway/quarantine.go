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
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// beginning is how long a run that breaks off counts as one that may have ended its
	// server, from its first event there. A content that ends what begins it does so
	// within a fraction of a second; the streams beside it are mostly older.
	beginning = 5 * time.Second
	// keepTime bounds one call that writes a refused content to the platform; between
	// two of them is a pause that doubles from keepFirst to keepLast.
	keepTime  = time.Second
	keepFirst = 200 * time.Millisecond
	keepLast  = 5 * time.Second
)

// barred refuses a request whose content ends the servers that run it. It is asked at
// the last moment before each send: another entry VM may have learned of it while the
// request waited.
func (g *Gateway) barred(q *request) *fault.Error {
	if g.unsuspicious() {
		return nil
	}
	c := q.content()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	u, ok := g.contents.Refused(now, c)
	if !ok {
		return nil
	}
	return fault.New(fault.Quarantined, "servers ended while they ran requests of this content").After(u.Sub(now))
}

// unsuspicious reports whether nothing is held against any content, so that none has to
// be named.
func (g *Gateway) unsuspicious() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.contents.Empty()
}

// noteBreak takes what the failure of an attempt tells of its content and its server.
func (g *Gateway) noteBreak(q *request, s roster.Server, err error) {
	switch {
	case port.Refused(err):
		g.noteGone(s)
	case port.BrokeOff(err) && !g.leaving(s.Name):
		c := q.content()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.contents.Broke(time.Now(), c, s.Name)
	}
}

// noteGone notes that a server has ended without notice.
func (g *Gateway) noteGone(s roster.Server) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.contents.Ended(time.Now(), s.Name)
}

// noteAnswered notes that a server has survived a request.
func (g *Gateway) noteAnswered(q *request) {
	if g.unsuspicious() {
		return
	}
	c := q.content()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.contents.Answered(time.Now(), c)
}

// mayGoOn reports whether a run that broke off may be taken to a further server.
func (g *Gateway) mayGoOn(q *request) bool {
	c := q.content()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.contents.MayGoOn(c)
}

// judge refuses the contents that have come to be proven, and has the platform keep
// them: an entry VM that peers don't reach, or that starts later, learns of them there.
func (g *Gateway) judge(now time.Time) {
	g.mutex.Lock()
	l := g.contents.Step(now)
	g.mutex.Unlock()
	for _, v := range l {
		g.Metrics.Add(metric.Quarantined, 1)
		g.Log.Emit(event.ContentQuarantined, zap.String("content", string(v.Content)), zap.Any("servers", v.Servers), zap.Bool("own", v.Own), zap.Time("until", v.Until))
		if v.Own && g.Quarantines != nil {
			g.Group.Go(func(ctx context.Context) error {
				g.keepEntry(ctx, v.Entry)
				return nil
			})
		}
	}
}

// keepEntry writes a refused content to the platform, however long that is away.
func (g *Gateway) keepEntry(ctx context.Context, e quarantine.Entry) {
	for pause := keepFirst; g.stillRefused(e.Content); pause = min(2*pause, keepLast) {
		c, cancel := context.WithTimeout(ctx, keepTime)
		g.Metrics.Add(metric.PlatformWrites, 1)
		err := g.Quarantines.Keep(c, e)
		cancel()
		if err == nil {
			return
		}
		g.Log.Emit(event.QuarantineUnkept, zap.String("content", string(e.Content)), zap.Error(err))
		if !duty.Sleep(ctx, pause) {
			return
		}
	}
}

func (g *Gateway) stillRefused(c api.ContentHash) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.contents.Refused(time.Now(), c)
	return ok
}

// Quarantine takes the contents that the platform keeps as refused.
func (g *Gateway) Quarantine(s replica.Snapshot[quarantine.Entry]) {
	l := make([]quarantine.Entry, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	g.mutex.Lock()
	g.contents.Declare(l)
	g.mutex.Unlock()
	g.Log.Emit(event.ContentDeclared, zap.Int("contents", len(l)), zap.Int("version", int(s.At)))
}

// ReleaseExpired removes from the platform what it keeps beyond its time; it is for the
// entry VM that follows the platform.
func (g *Gateway) ReleaseExpired(ctx context.Context) {
	g.mutex.Lock()
	l := g.contents.Expired(time.Now())
	g.mutex.Unlock()
	for _, c := range l {
		x, cancel := context.WithTimeout(ctx, keepTime)
		g.Metrics.Add(metric.PlatformWrites, 1)
		err := g.Quarantines.Release(x, c)
		cancel()
		if err != nil {
			g.Log.Emit(event.QuarantineUnkept, zap.String("content", string(c)), zap.Error(err))
		}
	}
}

// Contents gives what peers may not know of contents that end servers.
func (g *Gateway) Contents() []api.ContentWord {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.contents.Tell(time.Now())
}

// NoteContents takes what a peer knows of contents that end servers.
func (g *Gateway) NoteContents(l []api.ContentWord) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.contents.Hear(time.Now(), l)
}
