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

// Options configures a soak.
type Options struct {
	// Program is the path of the entry VM program.
	Program string
	// Wire is the platform protocol that the program speaks.
	Wire hosted.Wire
	// Dir is the folder for settings, logs and the plan.
	Dir string
	Log *event.Log
}

// Result is the outcome of one plan.
type Result struct {
	Plan     Plan `json:"plan"`
	Requests int  `json:"requests"`
	Served   int  `json:"served"`
	Runs     int  `json:"runs"`
	Resumed  int  `json:"resumed"`
	Probes   int  `json:"probes"`
	// Stalls counts how often the process of the soak did not run for a while.
	Stalls     int         `json:"stalls"`
	Violations []Violation `json:"violations"`
}

// Run plays a plan to its end and checks the properties.
func Run(ctx context.Context, o Options, p Plan) (Result, error) {
	if err := os.MkdirAll(o.Dir, dirMode); err != nil {
		return Result{}, fault.Wrap(fault.UnreadableFile, err, "making a folder for logs")
	}
	if err := p.Save(filepath.Join(o.Dir, "plan.json")); err != nil {
		return Result{}, err
	}
	b, closer, err := newTestbed(ctx, o, p)
	if err != nil {
		return Result{}, err
	}
	defer closer()
	b.runPlan(ctx, p)
	r := b.finish()
	return newResult(p, r), ctx.Err()
}

// maxStartTime is how long the entry VMs, or one process of them, may take to start.
const maxStartTime = 20 * time.Second

// runPlan sends traffic and injects each fault at its time.
func (b *testbed) runPlan(ctx context.Context, p Plan) {
	polls, stopPolls := duty.New(ctx)
	defer stopPolls()
	polls.Go(b.pollReadiness)
	polls.Go(b.watchStalls)
	b.awaitReady(ctx)
	began := time.Now()
	calls, stopCalls := duty.New(ctx)
	for i := range p.Size.Callers {
		calls.Go(func(ctx context.Context) error {
			b.runCaller(ctx, i, p.Seed)
			return nil
		})
	}
	for _, v := range b.vms {
		calls.Go(func(ctx context.Context) error {
			b.probeVM(ctx, v)
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
	// Faults end by themselves and never return an error.
	_ = faults.Wait()
	stopFaults()
	calm := time.Now()
	b.recorder.update(func(r *Record) { r.CalmSince = calm })
	duty.Sleep(ctx, max(finalCalm, time.Until(began.Add(p.Length.Duration()))))
	stopCalls()
}

// awaitReady waits until every entry VM accepts callers, at most maxStartTime.
func (b *testbed) awaitReady(ctx context.Context) {
	end := time.Now().Add(maxStartTime)
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

// finish ends the entry VMs, checks their logs and returns the record.
func (b *testbed) finish() Record {
	for _, v := range b.vms {
		if v.current().endedUnexpectedly() {
			b.recordFailure(v.logPath + ": the process ended unexpectedly")
		}
		v.kill()
		marked, err := hasFailureMark(v.logPath)
		b.recordError(err)
		if marked {
			b.recordFailure(v.logPath + ": the log reports a data race, a panic or a fatal error")
		}
	}
	b.recorder.mutex.Lock()
	defer b.recorder.mutex.Unlock()
	r := b.recorder.record
	r.Arrivals, r.Runs = b.fleet.Journal.Records()
	r.End = time.Now()
	return r
}

func newResult(p Plan, r Record) Result {
	x := Result{Plan: p, Requests: len(r.Requests), Runs: len(r.Runs), Probes: len(r.Probes), Violations: Check(r)}
	for _, s := range r.Requests {
		if s.served() {
			x.Served++
		}
	}
	for _, i := range r.Injections {
		if i.Kind == SoakStalled {
			x.Stalls++
		}
	}
	for _, a := range r.Arrivals {
		if a.ResumeFrom != "" {
			x.Resumed++
		}
	}
	return x
}

// inject injects one fault and ends it.
func (b *testbed) inject(ctx context.Context, f Fault) {
	v := b.vms[max(0, f.Target)%len(b.vms)]
	s := b.servers[max(0, f.Target)%len(b.servers)]
	// The injection is recorded before the fault starts; its end is recorded afterwards.
	i := b.recordInjection(f, v, s)
	b.Log.Emit(event.SoakFault, zap.String("kind", string(f.Kind)), zap.Int("target", f.Target), zap.Duration("for", f.For.Duration()), zap.String("mode", string(f.Mode)))
	switch f.Kind {
	case KillVM, StopVM, PauseVM, ReloadVM:
		b.injectVMFault(ctx, f, v)
	case CallerLink:
		b.injectLinkFault(ctx, v.callerProxy, f)
	case ServerLink, SilentServer, CrashServer, LeaveServer, RestartServer, LoseAnswers, LoseStreams:
		b.injectServerFault(ctx, f, s)
	case SignalLimit, SignalBackoff, SignalLeaving:
		b.injectSignal(ctx, f, s)
	case ReplaceServers, DuplicateAnswers:
		b.replaceServers(ctx, f.For.Duration(), map[Kind]overloadFunc{ReplaceServers: b.overload, DuplicateAnswers: b.duplicateAnswers}[f.Kind])
	case SignalFragile:
		b.makeFragile(ctx, s.service, f.For.Duration())
	case CloseDomain:
		b.closeDomain(ctx, s, f.For.Duration())
	case ForeignEntry:
		b.writeForeignEntry(s)
	case CrashingRequest:
		b.repeatCrashingRequest(ctx, f)
	case CrashingPart:
		b.sendCrashingPart(ctx, f)
	case StoreDropHistory:
		b.store.DropHistory()
	case StoreRestore:
		b.restoreStore(ctx, f.For.Duration())
	case ChangeRoute:
		b.changeExtraRoutes()
	case RevokeKey:
		b.rotateSpareKey()
	default:
		b.injectStoreFault(ctx, f, v)
	}
	until := time.Now()
	if f.Mode == HoldOpen {
		// Requests over the connections that were open stay affected until they time out.
		until = until.Add(routeTimeout)
	}
	b.recorder.update(func(r *Record) { r.Injections[i].Until = until })
}

// injectServerFault injects a fault of one server and ends it.
func (b *testbed) injectServerFault(ctx context.Context, f Fault, s *server) {
	_, p := s.current()
	switch f.Kind {
	case ServerLink:
		b.injectLinkFault(ctx, p, f)
	case SilentServer:
		p.setMode(HoldAll)
		b.crashServer(ctx, s, f.For.Duration())
	case CrashServer:
		b.crashServer(ctx, s, f.For.Duration())
	case LeaveServer:
		b.leaveServer(ctx, s, f.For.Duration())
	case RestartServer:
		b.restartServer(s)
	case LoseStreams:
		b.loseStreams(ctx, s, f.For.Duration())
	default:
		b.loseAnswers(ctx, s, f.For.Duration())
	}
}

// injectVMFault injects a fault of an entry VM's process by signals.
func (b *testbed) injectVMFault(ctx context.Context, f Fault, v *vm) {
	p := v.current()
	switch f.Kind {
	case KillVM:
		p.kill()
		duty.Sleep(ctx, f.For.Duration())
		b.restartVM(v, p)
	case StopVM:
		p.stop(stopGrace + time.Second)
		b.restartVM(v, p)
	case PauseVM:
		p.signal(syscall.SIGSTOP)
		duty.Sleep(ctx, f.For.Duration())
		p.signal(syscall.SIGCONT)
	default:
		// SIGHUP ends a program that has not yet installed its signal handler.
		b.awaitStarted(ctx, v)
		v.current().signal(syscall.SIGHUP)
	}
}

// awaitStarted waits until the current process of the VM has logged its start.
func (b *testbed) awaitStarted(ctx context.Context, v *vm) {
	for end := time.Now().Add(maxStartTime); time.Now().Before(end); {
		ok, err := v.hasStarted()
		b.recordError(err)
		if ok || err != nil || !duty.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// recordInjection records that a fault is about to start and returns the index of the
// injection.
func (b *testbed) recordInjection(f Fault, v *vm, s *server) int {
	t := Injection{Fault: f, VM: noVM}
	switch f.Kind {
	case CrashServer, SilentServer, ServerLink, LeaveServer, LoseAnswers, LoseStreams, RestartServer:
		x, _ := s.current()
		t.Server = x.Name
	case ChangeRoute, RevokeKey, StoreDropHistory, SignalLimit, SignalBackoff, SignalLeaving, SignalFragile, CloseDomain, ForeignEntry, CrashingRequest, CrashingPart:
	case ReplaceServers:
		// It affects the answers of all plain servers, whichever entry VM receives them.
		t.VM = All
	default:
		t.VM = v.index
		if f.Target == All {
			t.VM = All
		}
	}
	// Until the end is known, the span extends beyond every span that is checked.
	now := time.Now()
	t.Span = Span{From: now, Until: now.Add(time.Hour)}
	i := 0
	b.recorder.update(func(r *Record) {
		i = len(r.Injections)
		r.Injections = append(r.Injections, t)
	})
	return i
}

// restartVM starts a VM whose process has ended, unless another fault has restarted it
// already.
func (b *testbed) restartVM(v *vm, ended *process) {
	b.recordError(b.bootVM(v, ended))
}

// recordError records a failure of the soak itself.
func (b *testbed) recordError(err error) {
	if err != nil {
		b.recordFailure(err.Error())
	}
}

func (b *testbed) recordFailure(what string) {
	b.recorder.update(func(r *Record) { r.Failures = append(r.Failures, what) })
}

// injectLinkFault sets the mode of a link's proxy for a time.
func (b *testbed) injectLinkFault(ctx context.Context, p *proxy, f Fault) {
	p.setMode(f.Mode)
	duty.Sleep(ctx, f.For.Duration())
	p.setMode(Pass)
}

// entryExpiry is how long the store keeps the entry of a server that has crashed.
const entryExpiry = 1500 * time.Millisecond

// crashServer crashes a server without notice and replaces it by one with a new name.
func (b *testbed) crashServer(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	x.Crash()
	duty.Sleep(ctx, entryExpiry)
	b.recordError(x.Unregister())
	duty.Sleep(ctx, d)
	b.recordError(b.startServer(s, x, newName))
}

// leaveServer ends a server after a leave notice and replaces it by one with a new name.
func (b *testbed) leaveServer(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	notice := minNotice + d
	b.recordError(x.AnnounceStop(notice))
	at := time.Now()
	b.recorder.update(func(r *Record) { r.LeaveNotices = append(r.LeaveNotices, LeaveNotice{Server: x.Name, At: at}) })
	duty.Sleep(ctx, notice)
	b.recordError(x.Unregister())
	x.Crash()
	b.recordError(b.startServer(s, x, newName))
}

// loseAnswers makes a server drop, for a time, the answers to plain requests that it has
// run.
func (b *testbed) loseAnswers(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	x.LoseAnswers(true)
	duty.Sleep(ctx, d)
	x.LoseAnswers(false)
}

// loseStreams makes a server lose, for a time, the connections of streams whose runs go on.
func (b *testbed) loseStreams(ctx context.Context, s *server, d time.Duration) {
	x, _ := s.current()
	x.LoseStreams(true)
	duty.Sleep(ctx, d)
	x.LoseStreams(false)
}

// minNotice is the minimum time between a leave notice and the end of a server, as on the
// users' platform.
const minNotice = 1500 * time.Millisecond

// storeDelay is how long a slow store delays its answers.
const storeDelay = 200 * time.Millisecond

// injectStoreFault makes the store fail for one VM or for all.
func (b *testbed) injectStoreFault(ctx context.Context, f Fault, v *vm) {
	l := []*vm{v}
	if f.Target == All {
		l = b.vms
	}
	for _, v := range l {
		v.failStore(f.Kind)
	}
	duty.Sleep(ctx, f.For.Duration())
	for _, v := range l {
		v.endpoint.SetOutcome(hosted.Answered, 0)
		v.storeProxy.setMode(Pass)
	}
}

// failStore makes the store fail for a VM.
func (v *vm) failStore(k Kind) {
	switch k {
	case StoreBusy:
		v.endpoint.SetOutcome(hosted.Busy, 0)
	case StoreThrottle:
		v.endpoint.SetOutcome(hosted.Throttled, 0)
	case StoreReset:
		v.endpoint.SetOutcome(hosted.Disconnected, 0)
	case StoreSlow:
		v.endpoint.SetOutcome(hosted.Answered, storeDelay)
	case StoreStale:
		v.storeProxy.setMode(HoldOpen)
	default:
		v.storeProxy.setMode(HoldAll)
	}
}
