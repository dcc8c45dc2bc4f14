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

// SubjectsFunc returns the content of a request and the shared parts of its prompt. It reads the
// whole request.
type SubjectsFunc func() quarantine.Subjects

// probeTimeout bounds a connection attempt to a server that may have crashed. A connection with a
// lost packet takes about as long.
const probeTimeout = time.Second

// Guard protects servers from contents that crash them. It guards a quarantine table with a mutex
// and is safe for concurrent use.
type Guard struct {
	log     *event.Log
	metrics *metric.Set

	mutex sync.Mutex
	table *quarantine.Table
}

// New creates a guard of a table.
func New(l *event.Log, m *metric.Set, t *quarantine.Table) *Guard {
	return &Guard{log: l, metrics: m, table: t}
}

// empty reports whether no content is known, so that none needs to be hashed.
func (g *Guard) empty() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.Empty()
}

// Check refuses a request with a quarantined content, or part of its prompt, as not run and with the time after which to
// retry. It must be called right before each send: another entry VM may have found the content to
// crash servers while the request waited.
func (g *Guard) Check(n SubjectsFunc) *fault.Error {
	if g.empty() {
		return nil
	}
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	u, ok := g.table.Refused(now, c)
	if !ok {
		return nil
	}
	return fault.New(fault.Quarantined, "servers crashed while they ran requests with this content or part of its prompt").WithRetryAfter(u.Sub(now))
}

// RecordFailure records that a run failed at a server that had not announced its end, with its
// first event from there that long ago; zero if there was none. An error which shows that nothing
// listens for the server at its address records the crash of the server instead, and one of a
// request that did not run records nothing.
func (g *Guard) RecordFailure(n SubjectsFunc, s api.ServerName, err error, age time.Duration) {
	switch {
	case port.ConnectionRefused(err), fault.Has(err, fault.Misdirected):
		g.RecordCrash(s)
		return
	case fault.Has(err, fault.NotStarted), fault.Has(err, fault.ServerRefused):
		return
	}
	e := quarantine.NoAnswer
	if port.ConnectionBroken(err) {
		e = quarantine.ConnectionLost
	}
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordRunFailure(time.Now(), c, s, e, age)
}

// RecordCrash records that a server has crashed: it ended without notice.
func (g *Guard) RecordCrash(s api.ServerName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordCrash(time.Now(), s)
}

// RecordAnswer records that a server has answered a request completely, or has taken a run further than
// the one that crashed.
func (g *Guard) RecordAnswer(n SubjectsFunc, s api.ServerName) {
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordServed(s)
	g.table.RecordRunAnswer(time.Now(), c)
}

// RecordProgress records that a server has written events of a run for
// quarantine.PartSuspectWindow.
func (g *Guard) RecordProgress(n SubjectsFunc, s api.ServerName) {
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.RecordServed(s)
	g.table.RecordRunProgress(time.Now(), c)
}

// MayResume reports whether a failed run may be resumed on another server, given the time since
// its first event at the server that failed; zero if there was none.
func (g *Guard) MayResume(n SubjectsFunc, age time.Duration) bool {
	c := n()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.MayResumeRun(time.Now(), c, age)
}

// Step quarantines the contents with enough confirmed crashes and returns them.
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

// ConnectFunc tries to connect to a server and returns the error of the connection.
type ConnectFunc func(ctx context.Context, s api.ServerName) error

// ProbeServers connects concurrently to the servers that may have crashed, and records a
// crash of those that refuse the connection.
func (g *Guard) ProbeServers(d *duty.Group, connect ConnectFunc) {
	g.mutex.Lock()
	l := g.table.NextProbes(time.Now())
	g.mutex.Unlock()
	for _, s := range l {
		d.Go(func(ctx context.Context) error {
			c, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := connect(c, s); port.ConnectionRefused(err) {
				g.RecordCrash(s)
			}
			return nil
		})
	}
}

// Quarantined reports whether a content is quarantined.
func (g *Guard) Quarantined(c api.ContentHash) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.table.Quarantined(time.Now(), c)
	return ok
}

// ApplySnapshot applies the quarantined contents that the platform stores in an era.
func (g *Guard) ApplySnapshot(e api.Era, l []quarantine.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.ApplySnapshot(time.Now(), e, l)
}

// TakeCorrection returns the corrections to make on the platform after it was restored from a
// backup.
func (g *Guard) TakeCorrection() quarantine.Correction {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.TakeCorrection(time.Now())
}

// Expired lists the contents that the platform still stores although their quarantine has ended.
func (g *Guard) Expired() []api.ContentHash {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.Expired(time.Now())
}

// RecentReports returns the reports that peers may not have received yet.
func (g *Guard) RecentReports() []api.ContentReport {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.RecentReports(time.Now())
}

// AllReports returns the recent reports and those of all quarantined contents, for peers without a
// platform that stores them.
func (g *Guard) AllReports() []api.ContentReport {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.AllReports(time.Now())
}

// Merge applies the reports of a peer.
func (g *Guard) Merge(l []api.ContentReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.table.Merge(time.Now(), l)
}
