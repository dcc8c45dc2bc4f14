package contents

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// Name names a request's content; it reads the whole request.
type Name func() api.ContentHash

// verifyTime bounds the time to connect to a server that may have ended, as long as a connection
// takes that waits for a lost packet.
const verifyTime = time.Second

// Guard guards one table of contents.
type Guard struct {
	log     *event.Log
	metrics *metric.Set

	mutex sync.Mutex
	table *quarantine.Table
}

// New makes a guard that knows of no content.
func New(l *event.Log, m *metric.Set) *Guard {
	return &Guard{log: l, metrics: m, table: quarantine.New()}
}

// idle reports whether nothing is held against any content.
func (g *Guard) idle() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.Empty()
}

// Check refuses a content that ends the servers which run it, as not run, with the time
// to come back. It is asked at the last moment before each send: another entry VM may
// have learned of it while the request waited.
func (g *Guard) Check(n Name) *fault.Error {
	if g.idle() {
		return nil
	}
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	u, ok := g.table.Quarantined(now, c)
	if !ok {
		return nil
	}
	return fault.New(fault.Quarantined, "servers ended while they ran requests of this content").WithRetryAfter(u.Sub(now))
}

// Broke takes the failure of a run in its beginning, at a server that had given no notice
// of its end.
func (g *Guard) Broke(n Name, s api.ServerName, err error) {
	switch {
	case port.Refused(err), fault.Has(err, fault.Misdirected):
		g.Ended(s)
		return
	case fault.Has(err, fault.NotStarted), fault.Has(err, fault.ServerRefused):
		return
	}
	e := quarantine.NoAnswer
	if port.BrokeOff(err) {
		e = quarantine.ConnectionLost
	}
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordFailure(time.Now(), c, s, e)
}

// Ended notes that a server has ended without notice.
func (g *Guard) Ended(s api.ServerName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordServerEnd(time.Now(), s)
}

// Answered notes that a server has survived a request.
func (g *Guard) Answered(n Name) {
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordAnswer(time.Now(), c)
}

// MayGoOn reports whether a run that broke off may be taken to a further server.
func (g *Guard) MayGoOn(n Name) bool {
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.MayResume(c)
}

// Step refuses the contents that have come to be confirmed, and gives them.
func (g *Guard) Step() []quarantine.Verdict {
	g.mutex.Lock()
	l := g.table.Step(time.Now())
	g.mutex.Unlock()
	for _, v := range l {
		g.metrics.Add(metric.ContentsQuarantined, 1)
		g.log.Emit(event.ContentQuarantined, zap.String("content", string(v.Content)), zap.Any("servers", v.Servers), zap.Bool("own", v.Local), zap.Time("until", v.Until))
	}
	return l
}

// Connect tries to connect to a server, and fails with that of the connection.
type Connect func(ctx context.Context, s api.ServerName) error

// Verify asks the servers that may have ended whether they still listen, side by side.
func (g *Guard) Verify(d *duty.Group, connect Connect) {
	g.mutex.Lock()
	l := g.table.NextProbes(time.Now())
	g.mutex.Unlock()
	for _, s := range l {
		d.Go(func(ctx context.Context) error {
			c, cancel := context.WithTimeout(ctx, verifyTime)
			defer cancel()
			if err := connect(c, s); port.Refused(err) {
				g.Ended(s)
			}
			return nil
		})
	}
}

// Refused reports whether a content is sent to no server.
func (g *Guard) Refused(c api.ContentHash) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.table.Quarantined(time.Now(), c)
	return ok
}

// Declare takes the contents that the platform keeps as refused, in an era.
func (g *Guard) Declare(e api.Era, l []quarantine.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.ApplySnapshot(time.Now(), e, l)
}

// Correct gives what has to be put right on the platform after it came back from a copy.
func (g *Guard) Correct() quarantine.Correction {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.TakeCorrection(time.Now())
}

// Expired lists the contents that the platform keeps beyond their time.
func (g *Guard) Expired() []api.ContentHash {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.Expired(time.Now())
}

// Recent gives the reports that peers may not know yet.
func (g *Guard) Recent() []api.ContentReport {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.RecentReports(time.Now())
}

// All gives these reports and, for peers without a platform that keeps them, those of contents that
// are refused.
func (g *Guard) All() []api.ContentReport {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.AllReports(time.Now())
}

// Merge takes the reports of a peer.
func (g *Guard) Merge(l []api.ContentReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.Merge(time.Now(), l)
}
