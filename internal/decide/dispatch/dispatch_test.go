package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/fault"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const suspect = 2 * time.Second

func options(slots, queue int) dispatch.Options {
	return dispatch.Options{
		Admission:     admit.Slots{N: slots},
		Routing:       route.TwoChoices{},
		QueueLimit:    queue,
		MaxQueueWait:  5 * time.Second,
		SuspectAfter:  suspect,
		RetryPermille: 100,
		Seed:          1,
	}
}

func report(n api.ServerName, at time.Time) api.LoadReport {
	return api.LoadReport{
		Server: n, TimeMS: api.UnixMilliseconds(at), KVTotal: 10000,
		Role: api.EngineRoleServe, Loaded: []string{"model/m@1"},
	}
}

func fleet(o dispatch.Options, n int) *dispatch.Dispatcher {
	d := dispatch.New(o)
	var l []dispatch.Server
	for i := range n {
		l = append(l, dispatch.Server{Name: name(i)})
	}
	d.Declare(epoch, l)
	for i := range n {
		d.Report(epoch, report(name(i), epoch))
	}
	return d
}

func name(i int) api.ServerName {
	return api.ServerName(fmt.Sprintf("e%d", i))
}

func work(i int) dispatch.Work {
	return dispatch.Work{
		Request: api.RequestID(fmt.Sprintf("r%d", i)), Workspace: "w", Model: "m",
		Priority: api.PriorityStandard, PromptTokens: 10, MaxTokens: 100, Deadline: epoch.Add(time.Minute),
	}
}

func code(a []dispatch.Action) fault.Code {
	if len(a) != 1 || a[0].Refusal == nil {
		return 0
	}
	return a[0].Refusal.Code
}

func TestStartsWhileSlotsAreFreeThenWaits(t *testing.T) {
	d := fleet(options(1, 10), 2)
	for i := range 2 {
		if a := d.Submit(epoch, work(i)); len(a) != 1 || a[0].Server == "" {
			t.Fatalf("request %d: got %+v, want a start", i, a)
		}
	}
	if a := d.Submit(epoch, work(2)); len(a) != 0 || d.Waiting() != 1 {
		t.Fatalf("third request: got %+v, want it to wait", a)
	}
	a := d.Finish(epoch, "r0", 5, true)
	if len(a) != 1 || a[0].Request != "r2" {
		t.Errorf("after a finish: got %+v, want r2 started", a)
	}
}

func TestRefusals(t *testing.T) {
	late := work(1)
	late.Deadline = epoch
	large := work(1)
	large.PromptTokens = 20000
	other := work(1)
	other.Model = "other"
	tests := []struct {
		name string
		work dispatch.Work
		want fault.Code
	}{
		{"deadline passed", late, fault.DeadlinePassed},
		{"prompt larger than any engine", large, fault.TooLarge},
		{"model loaded nowhere", other, fault.NoServer},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a := fleet(options(1, 1), 1).Submit(epoch, c.work)
			if got := code(a); got != c.want {
				t.Fatalf("code: got %d, want %d", got, c.want)
			}
			if got := a[0].Refusal.Ran; got != api.RanNo {
				t.Errorf("ran: got %s, want no", got)
			}
		})
	}
}

func TestFullQueueRefusesAtOnceAndSpreadsRetries(t *testing.T) {
	d := fleet(options(1, 1), 1)
	d.Submit(epoch, work(0))
	d.Submit(epoch, work(1))
	seen := map[time.Duration]bool{}
	for i := 2; i < 12; i++ {
		a := d.Submit(epoch, work(i))
		if got := code(a); got != fault.QueueFull {
			t.Fatalf("code: got %d, want %d", got, fault.QueueFull)
		}
		seen[a[0].Refusal.RetryAfter] = true
	}
	if len(seen) < 9 {
		t.Errorf("retry times: got %d distinct ones of 10, want at least 9", len(seen))
	}
}

// A wait that the deadline ends must not be answered like one that the queue's own limit ends.
func TestWaitEndsAtDeadline(t *testing.T) {
	d := fleet(options(1, 10), 1)
	d.Submit(epoch, work(0))
	w := work(1)
	w.Deadline = epoch.Add(40 * time.Millisecond)
	d.Submit(epoch, w)
	if got := code(d.Tick(w.Deadline)); got != fault.DeadlinePassed {
		t.Errorf("code: got %d, want %d", got, fault.DeadlinePassed)
	}
}

func TestWaitEndsAtQueueTimeout(t *testing.T) {
	d := fleet(options(1, 10), 1)
	d.Submit(epoch, work(0))
	d.Submit(epoch, work(1))
	if got := code(d.Tick(epoch.Add(5 * time.Second))); got != fault.QueueTimeout {
		t.Errorf("code: got %d, want %d", got, fault.QueueTimeout)
	}
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name   string
		signal func(d *dispatch.Dispatcher)
		at     time.Time
	}{
		{"platform's list", func(d *dispatch.Dispatcher) { d.SetLeaving("e0", true) }, epoch},
		{"report of the server", func(d *dispatch.Dispatcher) {
			r := report("e0", epoch.Add(time.Millisecond))
			r.Leaving = true
			d.Report(epoch, r)
		}, epoch},
		{"refusal", func(d *dispatch.Dispatcher) { d.ObserveRefusal(epoch, "e0", true) }, epoch.Add(time.Second)},
		{"drained by an operator", func(d *dispatch.Dispatcher) {
			d.Declare(epoch, []dispatch.Server{{Name: "e0", Draining: true}})
		}, epoch},
		{"no longer declared", func(d *dispatch.Dispatcher) { d.Declare(epoch, nil) }, epoch},
		{"refused connection", func(d *dispatch.Dispatcher) { d.MarkUnreachable("e0") }, epoch},
		{"silence", func(*dispatch.Dispatcher) {}, epoch.Add(3*suspect + time.Millisecond)},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			d := fleet(options(10, 10), 1)
			c.signal(d)
			if got := code(d.Submit(c.at, work(1))); got != fault.NoServer {
				t.Errorf("code: got %d, want %d", got, fault.NoServer)
			}
		})
	}
}

func TestSilentEngineGetsNoWorkWhileOthersReport(t *testing.T) {
	d := fleet(options(100, 10), 2)
	now := epoch.Add(suspect + time.Millisecond)
	d.Report(now, report("e1", now))
	for i := range 20 {
		if a := d.Submit(now, work(i)); a[0].Server != "e1" {
			t.Fatalf("got %+v, want e1", a[0])
		}
	}
}

func TestLateReportsOfAllEnginesCauseNoRefusal(t *testing.T) {
	d := fleet(options(100, 10), 2)
	now := epoch.Add(2 * suspect)
	for i := range 20 {
		if a := d.Submit(now, work(i)); len(a) != 1 || a[0].Refusal != nil {
			t.Fatalf("got %+v, want a start", a)
		}
	}
}

func TestRetryAvoidsFailedEngineWithinBudget(t *testing.T) {
	d := fleet(options(1000, 10), 2)
	w := work(0)
	w.Avoid = "e0"
	started := 0
	for range 100 {
		a := d.Retry(epoch, w)
		if a[0].Server == "e0" {
			t.Fatalf("retry went to the engine that failed")
		}
		if a[0].Refusal == nil {
			started++
			d.Finish(epoch, w.Request, 0, false)
		}
	}
	if started > 10 {
		t.Errorf("retries without new requests: got %d, want at most 10", started)
	}
}

func TestStopWaitingRefusesAllWaitingRequests(t *testing.T) {
	d := fleet(options(1, 10), 1)
	for i := range 4 {
		d.Submit(epoch, work(i))
	}
	if got := len(d.StopWaiting()); got != 3 {
		t.Errorf("waiting requests refused: got %d, want 3", got)
	}
}

func BenchmarkSubmit2500Servers(b *testing.B) {
	o := options(0, 512)
	o.Admission = admit.NewSurvival(0.05, 70)
	o.Routing = route.Prefix{MaxExcess: 0.1}
	d := fleet(o, 2500)
	b.ResetTimer()
	for i := range b.N {
		w := work(i)
		w.Prefix = fmt.Sprint(i % 1600)
		d.Submit(epoch, w)
		d.Finish(epoch, w.Request, 100, true)
	}
}
