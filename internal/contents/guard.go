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

// HashFunc names a request's content; it reads the whole request.
type HashFunc func() api.ContentHash

// probeTimeout bounds the time to connect to a server that may have ended, as long as a connection
// takes that waits for a lost packet.
const probeTimeout = time.Second

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

// empty reports whether nothing is held against any content.
func (g *Guard) empty() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.Empty()
}

// Check refuses a content that ends the servers which run it, as not run, with the time
// to come back. It is asked at the last moment before each send: another entry VM may
// have learned of it while the request waited.
func (g *Guard) Check(n HashFunc) *fault.Error {
	if g.empty() {
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
	return fault.New(fault.Quarantined, "servers ended while they ran requests of this content").After(u.Sub(now))
}

// RecordFailure takes the failure of a run in its beginning, at a server that had given no notice
// of its end.
func (g *Guard) RecordFailure(n HashFunc, s api.ServerName, err error) {
	switch {
	case port.Refused(err), fault.Has(err, fault.Misdirected):
		g.RecordServerEnd(s)
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

// RecordServerEnd notes that a server has ended without notice.
func (g *Guard) RecordServerEnd(s api.ServerName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordServerEnd(time.Now(), s)
}

// RecordAnswer notes that a server has survived a request.
func (g *Guard) RecordAnswer(n HashFunc) {
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordAnswer(time.Now(), c)
}

// MayResume reports whether a run that broke off may be taken to a further server.
func (g *Guard) MayResume(n HashFunc) bool {
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
		g.metrics.Add(metric.Quarantined, 1)
		g.log.Emit(event.ContentQuarantined, zap.String("content", string(v.Content)), zap.Any("servers", v.Servers), zap.Bool("own", v.Local), zap.Time("until", v.Until))
	}
	return l
}

// ConnectFunc tries to connect to a server, and fails with that of the connection.
type ConnectFunc func(ctx context.Context, s api.ServerName) error

// ProbeServers asks the servers that may have ended whether they still listen, side by side.
func (g *Guard) ProbeServers(d *duty.Group, connect ConnectFunc) {
	g.mutex.Lock()
	l := g.table.NextProbes(time.Now())
	g.mutex.Unlock()
	for _, s := range l {
		d.Go(func(ctx context.Context) error {
			c, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := connect(c, s); port.Refused(err) {
				g.RecordServerEnd(s)
			}
			return nil
		})
	}
}

// Quarantined reports whether a content is sent to no server.
func (g *Guard) Quarantined(c api.ContentHash) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.table.Quarantined(time.Now(), c)
	return ok
}

// ApplySnapshot takes the contents that the platform keeps as refused, in an era.
func (g *Guard) ApplySnapshot(e api.Era, l []quarantine.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.ApplySnapshot(time.Now(), e, l)
}

// TakeCorrection gives what has to be put right on the platform after it came back from a copy.
func (g *Guard) TakeCorrection() quarantine.Correction {
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

// RecentReports gives the reports that peers may not know yet.
func (g *Guard) RecentReports() []api.ContentReport {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.RecentReports(time.Now())
}

// AllReports gives these reports and, for peers without a platform that keeps them, those of contents that
// are refused.
func (g *Guard) AllReports() []api.ContentReport {
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
