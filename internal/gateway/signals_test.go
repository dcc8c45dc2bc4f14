package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/leavequery"
	"github.com/wardridge/wardridge/internal/port"
)

// startStreams starts n streams, each with a backup copy, and returns their callers.
func (b *testGateway) startStreams(n int) []*caller {
	var l []*caller
	for i := range n {
		r, k := request("/stream/1"), &caller{}
		r.ID = api.RequestID(fmt.Sprintf("r%d", i))
		// Short prompts leave free memory for a backup copy of each run.
		r.Prompt.Tokens = 300
		b.Group.Go(func(ctx context.Context) error {
			b.Handle(ctx, r, k)
			return nil
		})
		l = append(l, k)
	}
	return l
}

// A server that requested a backoff must be sent only a few of the runs that no other server can
// resume: those that have their backup copies there.
func TestFewRunsResumeAtServerInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.backups, f.total = true, 60
		b := newTestGateway(t, f, 9)
		l := b.startStreams(10)
		time.Sleep(10 * eventGap)
		f.mutex.Lock()
		f.signals["e2"] = port.Signals{Answered: true, BackoffRequested: true, Backoff: time.Minute}
		f.mutex.Unlock()
		b.QueryLeaving(leavequery.Domain)
		time.Sleep(eventGap)
		f.mutex.Lock()
		before, here := len(f.sends), 0
		for _, n := range f.sends {
			if n == "e1" {
				here++
			}
		}
		f.dead["e1"] = true
		f.mutex.Unlock()
		time.Sleep(5 * time.Second)
		whole := 0
		for _, k := range l {
			if k.complete(f.total) {
				whole++
			}
		}
		if here < 3 {
			t.Fatalf("runs at the server that crashes: got %d, want at least 3, more than may resume", here)
		}
		if got := f.sent() - before; got != 2 {
			t.Errorf("sends after the crash: got %d, want 2", got)
		}
		if want := len(l) - here + 2; whole != want {
			t.Errorf("complete streams: got %d of %d, want %d", whole, len(l), want)
		}
	})
}

// reportBackoff makes a server request a backoff from this entry VM in its next report, and
// queries the report.
func (b *testGateway) reportBackoff(n string, d time.Duration) {
	b.fake.mutex.Lock()
	b.fake.signals[n] = port.Signals{Answered: true, BackoffRequested: true, Backoff: d}
	b.fake.mutex.Unlock()
	_, _ = b.Backends.Report(context.Background(), server(n, "x", false), false)
}

// A run whose backup server has requested a backoff must be moved when its server leaves.
func TestRunIsMovedWhenItsBackupServerBacksOff(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *streamTest, backupServer string)
	}{
		{"backoff before the notice", func(s *streamTest, backupServer string) {
			s.reportBackoff(backupServer, time.Minute)
			s.declareThreeEngines(s.server)
		}},
		{"backoff after the notice", func(s *streamTest, backupServer string) {
			s.declareThreeEngines(s.server)
			time.Sleep(eventGap)
			s.reportBackoff(backupServer, time.Minute)
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				f.backups = true
				s := startStream(t, f, 60, 5)
				s.declareThreeEngines("")
				f.mutex.Lock()
				backupServer := f.handles["r"]
				f.mutex.Unlock()
				c.do(s, backupServer)
				s.checkWhole(t, s.server, "e3")
			})
		})
	}
}

// declareThreeEngines declares three engines, one of which may be leaving; empty for none.
func (b *testGateway) declareThreeEngines(leaving string) {
	m := map[string]bool{"e1": false, "e2": false, "e3": false}
	if leaving != "" {
		m[leaving] = true
	}
	b.servers(m)
}

// A run that its target refuses at the end of a move must resume at its source.
func TestRunRefusedByTargetReturnsToSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		target := other(s.server)
		s.update(func(f *fakeServers) { f.refuses[target] = true })
		s.servers(map[string]bool{s.server: true, target: false})
		for s.fake.sent() < 3 && !s.streamEnded() {
			time.Sleep(eventGap)
		}
		s.declareThreeEngines(s.server)
		s.checkWhole(t, s.server, target, s.server, "e3")
	})
}

// Guards against a stopped run that is lost because its source and its target have both requested a short backoff.
func TestRunRefusedBySourceAndTargetResumesAfterTheirBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.backoff = 500 * time.Millisecond
		s := startStream(t, f, 60, 5)
		s.notice(s.server)
		s.awaitStop()
		s.update(func(f *fakeServers) { f.refuses["e1"], f.refuses["e2"] = true, true })
		time.Sleep(f.backoff - eventGap)
		s.update(func(f *fakeServers) { clear(f.refuses) })
		<-s.done
		if !s.complete(f.total) {
			t.Errorf("events: got %d of %d, want the whole stream; sends %v", s.count(), f.total, f.sends)
		}
	})
}

// A backoff that any server requests must not start a second move of a run that is stopped and
// about to resume.
func TestStoppedRunIsNotMovedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		s.declareThreeEngines(s.server)
		s.awaitStop()
		began := time.Now()
		s.reportBackoff("e9", time.Minute)
		<-s.done
		if got, want := time.Since(began), 60*eventGap; got > want || !s.complete(s.fake.total) {
			t.Errorf("got the stream complete: %v, after %v, want it within %v", s.complete(s.fake.total), got, want)
		}
	})
}

// A run must return to its source if operators close its target's domain during the last step
// of the move.
func TestRunReturnsToSourceWhenTargetDomainCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		target := other(s.server)
		s.declareDomains(map[string]api.DomainName{s.server: "x", target: "y"}, s.server)
		s.awaitStop()
		s.closeDomains("y")
		s.checkWhole(t, s.server, s.server)
	})
}

// A run must resume at its target even if operators close the domain of its source and target
// during the last step of the move.
func TestStoppedRunResumesWhenSourceAndTargetDomainsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		s.servers(map[string]bool{s.server: true, other(s.server): false})
		s.awaitStop()
		s.closeDomains("x")
		<-s.done
		if !s.complete(s.fake.total) {
			t.Errorf("events: got %d of %d, want the whole stream", s.count(), s.fake.total)
		}
	})
}

// awaitStop waits until the stream's run is stopped for the last step of its move.
func (s *streamTest) awaitStop() {
	for stopped := false; !stopped; time.Sleep(5 * time.Millisecond) {
		s.update(func(f *fakeServers) { stopped = len(f.stoppedAt) > 0 })
	}
}

// streamEnded reports whether the stream has ended.
func (s *streamTest) streamEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
