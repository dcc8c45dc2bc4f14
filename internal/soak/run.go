package soak

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// Options are what a soak works with.
type Options struct {
	// Program is the path of the entry VM's program.
	Program string
	// Wire is what it speaks.
	Wire hosted.Wire
	// Dir takes settings, logs and the plan.
	Dir string
	Log *event.Log
}

// Result is what one plan showed.
type Result struct {
	Plan       Plan        `json:"plan"`
	Requests   int         `json:"requests"`
	Served     int         `json:"served"`
	Runs       int         `json:"runs"`
	Resumed    int         `json:"resumed"`
	Probes     int         `json:"probes"`
	Violations []Violation `json:"violations"`
}

// Run plays a plan to its end and checks what it showed.
func Run(ctx context.Context, o Options, p Plan) (Result, error) {
	if err := os.MkdirAll(o.Dir, dirMode); err != nil {
		return Result{}, fault.Wrap(fault.UnreadableFile, err, "making a folder for logs")
	}
	if err := p.Save(filepath.Join(o.Dir, "plan.json")); err != nil {
		return Result{}, err
	}
	b, closer, err := newTestbed(ctx, o, p.Size)
	if err != nil {
		return Result{}, err
	}
	defer closer()
	b.play(ctx, p)
	r := b.end()
	return result(p, r), ctx.Err()
}

// startTime is how long a system may take until it serves.
const startTime = 20 * time.Second

// play sends traffic and brings the faults about, each at its time.
func (b *testbed) play(ctx context.Context, p Plan) {
	looks, stopLooks := duty.New(ctx)
	defer stopLooks()
	looks.Go(b.balance)
	b.awaitReady(ctx)
	began := time.Now()
	calls, stopCalls := duty.New(ctx)
	for i := range p.Size.Callers {
		calls.Go(func(ctx context.Context) error {
			b.call(ctx, i, p.Seed)
			return nil
		})
	}
	for _, v := range b.vms {
		calls.Go(func(ctx context.Context) error {
			b.probe(ctx, v)
			return nil
		})
	}
	faults, stopFaults := duty.New(ctx)
	for _, f := range p.Faults {
		faults.Go(func(ctx context.Context) error {
			if duty.Sleep(ctx, time.Until(began.Add(f.At.Duration()))) {
				b.inject(ctx, f)
			}
			return nil
		})
	}
	// Faults end by themselves and never fail.
	_ = faults.Wait()
	stopFaults()
	calm := time.Now()
	b.recorder.update(func(r *Record) { r.CalmSince = calm })
	duty.Sleep(ctx, max(finalCalm, time.Until(began.Add(p.Length.Duration()))))
	stopCalls()
}

// awaitReady waits until every entry VM takes callers.
func (b *testbed) awaitReady(ctx context.Context) {
	end := time.Now().Add(startTime)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 0
		for _, v := range b.vms {
			v.mutex.Lock()
			if v.acceptsCallers {
				n++
			}
			v.mutex.Unlock()
		}
		if n == len(b.vms) {
			return
		}
		duty.Sleep(ctx, pollInterval)
	}
}

// end closes the record.
func (b *testbed) end() Record {
	for _, v := range b.vms {
		if v.current().endedUnexpectedly() {
			b.fail(v.logPath + ": the process ended by itself")
		}
		v.kill()
		is, err := hasFailureMark(v.logPath)
		b.failed(err)
		if is {
			b.fail(v.logPath + ": the program tells that it is broken")
		}
	}
	b.recorder.mutex.Lock()
	defer b.recorder.mutex.Unlock()
	r := b.recorder.record
	r.Arrivals, r.Runs = b.fleet.Journal.Records()
	r.End = time.Now()
	return r
}

func result(p Plan, r Record) Result {
	x := Result{Plan: p, Requests: len(r.Requests), Runs: len(r.Runs), Probes: len(r.Probes), Violations: Check(r)}
	for _, s := range r.Requests {
		if s.Complete {
			x.Served++
		}
	}
	for _, a := range r.Arrivals {
		if a.ResumeFrom != "" {
			x.Resumed++
		}
	}
	return x
}

// inject brings one fault about and ends it.
func (b *testbed) inject(ctx context.Context, f Fault) {
	v := b.vms[max(0, f.Target)%len(b.vms)]
	s := b.servers[max(0, f.Target)%len(b.servers)]
	// It is noted before it begins and, with its end, again after it.
	i := b.begins(f, v, s)
	b.Log.Emit(event.SoakFault, zap.String("kind", string(f.Kind)), zap.Int("target", f.Target), zap.Duration("for", f.For.Duration()), zap.String("mode", string(f.Mode)))
	switch f.Kind {
	case KillVM, StopVM, PauseVM, ReloadVM:
		b.signal(ctx, f, v)
	case CallerLink:
		b.link(ctx, v.callerProxy, f)
	case ServerLink, SilentServer, CrashServer, LeaveServer, RestartServer, LoseAnswers:
		b.serverFault(ctx, f, s)
	case SignalLimit, SignalBackoff, SignalLeaving:
		b.say(ctx, f, s)
	case CloseDomain:
		b.closeDomain(ctx, s, f.For.Duration())
	case ForeignEntry:
		b.foreignEntry(s)
	case CrashingRequest:
		b.comeBack(ctx, f)
	case StoreDropHistory:
		b.store.DropHistory()
	case StoreRestore:
		b.restore(ctx, f.For.Duration())
	case ChangeRoute:
		b.changeRoute()
	case RevokeKey:
		b.changeKey()
	default:
		b.storeFault(ctx, f, v)
	}
	until := time.Now()
	if f.Mode == HoldOpen {
		// What is sent over the connections that were open is met for as long as it
		// may take.
		until = until.Add(routeTime)
	}
	b.recorder.update(func(r *Record) { r.Injections[i].Until = until })
}

// serverFault brings a fault of one server about and ends it.
func (b *testbed) serverFault(ctx context.Context, f Fault, s *server) {
	_, p := s.current()
	switch f.Kind {
	case ServerLink:
		b.link(ctx, p, f)
	case SilentServer:
		p.setMode(HoldAll)
		b.crash(ctx, s, f.For.Duration())
	case CrashServer:
		b.crash(ctx, s, f.For.Duration())
	case LeaveServer:
		b.leave(ctx, s, f.For.Duration())
	case RestartServer:
		b.rebirth(s)
	default:
		b.lose(ctx, s, f.For.Duration())
	}
}

// signal sends a fault's signals to an entry VM's process.
func (b *testbed) signal(ctx context.Context, f Fault, v *vm) {
	p := v.current()
	switch f.Kind {
	case KillVM:
		p.kill()
		duty.Sleep(ctx, f.For.Duration())
		b.restart(v, p)
	case StopVM:
		p.stop(stopGrace + time.Second)
		b.restart(v, p)
	case PauseVM:
		p.signal(syscall.SIGSTOP)
		duty.Sleep(ctx, f.For.Duration())
		p.signal(syscall.SIGCONT)
	default:
		// Before its first own line a program can't keep the signal from ending it.
		b.awaitStarted(ctx, v)
		v.current().signal(syscall.SIGHUP)
	}
}

// awaitStarted waits until the VM's present process says that it has started.
func (b *testbed) awaitStarted(ctx context.Context, v *vm) {
	for end := time.Now().Add(startTime); time.Now().Before(end); {
		ok, err := v.hasStarted()
		b.failed(err)
		if ok || err != nil || !duty.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// begins records that a fault is about to begin and gives its place.
func (b *testbed) begins(f Fault, v *vm, s *server) int {
	t := Injection{Fault: f, VM: noVM}
	switch f.Kind {
	case CrashServer, SilentServer, ServerLink, LeaveServer, LoseAnswers, RestartServer:
		x, _ := s.current()
		t.Server = x.Name
	case ChangeRoute, RevokeKey, StoreDropHistory, SignalLimit, SignalBackoff, SignalLeaving, CloseDomain, ForeignEntry, CrashingRequest:
	default:
		t.VM = v.index
		if f.Target == All {
			t.VM = All
		}
	}
	// Until its end is known it lasts beyond any span that is checked.
	now := time.Now()
	t.Span = Span{From: now, Until: now.Add(time.Hour)}
	i := 0
	b.recorder.update(func(r *Record) {
		i = len(r.Injections)
		r.Injections = append(r.Injections, t)
	})
	return i
}

// restart starts a VM whose process has ended, unless another fault has done so.
func (b *testbed) restart(v *vm, ended *process) {
	b.failed(b.bootVM(v, ended))
}

// failed notes that the soak itself could not do something.
func (b *testbed) failed(err error) {
	if err != nil {
		b.fail(err.Error())
	}
}

func (b *testbed) fail(what string) {
	b.recorder.update(func(r *Record) { r.Failures = append(r.Failures, what) })
}

// link makes a link fail for a time.
func (b *testbed) link(ctx context.Context, p *proxy, f Fault) {
	p.setMode(f.Mode)
	duty.Sleep(ctx, f.For.Duration())
	p.setMode(Pass)
}

// lapseTime is how long the entry of a server that crashed stays.
const lapseTime = 1500 * time.Millisecond

// crash ends a server without notice; another one takes its place.
func (b *testbed) crash(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	x.Crash()
	duty.Sleep(ctx, lapseTime)
	b.failed(x.Unregister())
	duty.Sleep(ctx, d)
	b.failed(b.startServer(s, x, newName))
}

// leave ends a server after its notice; another one takes its place.
func (b *testbed) leave(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	notice := noticeLeast + d
	b.failed(x.AnnounceStop(notice))
	at := time.Now()
	b.recorder.update(func(r *Record) { r.LeaveNotices = append(r.LeaveNotices, LeaveNotice{Server: x.Name, At: at}) })
	duty.Sleep(ctx, notice)
	b.failed(x.Unregister())
	x.Crash()
	b.failed(b.startServer(s, x, newName))
}

// lose makes a server lose answers to plain requests that it has run.
func (b *testbed) lose(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	x.LoseAnswers(true)
	duty.Sleep(ctx, d)
	x.LoseAnswers(false)
}

// noticeLeast is the least time between a notice and the end: as on the users'
// platform.
const noticeLeast = 1500 * time.Millisecond

// slowTime is what a slow store holds its answers back by.
const slowTime = 200 * time.Millisecond

// storeFault makes the store fail for one VM or for all.
func (b *testbed) storeFault(ctx context.Context, f Fault, v *vm) {
	l := []*vm{v}
	if f.Target == All {
		l = b.vms
	}
	for _, v := range l {
		v.meet(f.Kind)
	}
	duty.Sleep(ctx, f.For.Duration())
	for _, v := range l {
		v.endpoint.SetOutcome(hosted.Answered, 0)
		v.storeProxy.setMode(Pass)
	}
}

// meet makes the store fail for a VM.
func (v *vm) meet(k Kind) {
	switch k {
	case StoreBusy:
		v.endpoint.SetOutcome(hosted.Busy, 0)
	case StoreThrottle:
		v.endpoint.SetOutcome(hosted.Throttled, 0)
	case StoreReset:
		v.endpoint.SetOutcome(hosted.Disconnected, 0)
	case StoreSlow:
		v.endpoint.SetOutcome(hosted.Answered, slowTime)
	case StoreStale:
		v.storeProxy.setMode(HoldOpen)
	default:
		v.storeProxy.setMode(HoldAll)
	}
}
