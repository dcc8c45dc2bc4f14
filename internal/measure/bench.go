package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/standin/batch"
)

// Size is the size and timing of the simulated system.
type Size struct {
	Entries int
	Engines int
	Batch   batch.Options
	// ReportEvery is the interval between reads of an engine's load.
	ReportEvery time.Duration
	// ReportLag is the age of a load report when an entry VM gets it.
	ReportLag time.Duration
	// WarmUp is the time before the measured Span; it is left out of the figures.
	WarmUp, Span time.Duration
}

// DefaultSize returns a system that is a small part of a deployment.
func DefaultSize() Size {
	return Size{
		Entries: 4, Engines: 4, Batch: batch.Defaults(),
		ReportEvery: 500 * time.Millisecond, ReportLag: 200 * time.Millisecond,
		WarmUp: 20 * time.Second, Span: 60 * time.Second,
	}
}

// Faults sets whether an engine crashes, another freezes and load reports are late for a
// time during a run.
type Faults bool

// Start of each fault after the warm-up, and its duration; lateReportLag is the age of late reports.
const (
	crashAt        = 10 * time.Second
	crashFor       = 10 * time.Second
	freezeAt       = 25 * time.Second
	freezeFor      = 3 * time.Second
	lateReportsAt  = 35 * time.Second
	lateReportsFor = 10 * time.Second
	lateReportLag  = 5 * time.Second
)

// tickInterval is the time between periodic ticks of the dispatchers; maxQueueWait is the
// default of the real system.
const (
	tickInterval = 50 * time.Millisecond
	maxQueueWait = 10 * time.Second
)

type request struct {
	work         dispatch.Work
	length       api.Tokens
	entry        *entry
	class        *load.Class
	arrived      time.Time
	lastToken    time.Time
	generated    api.Tokens
	stall        time.Duration
	engine       *engine
	id           api.GenerationID
	attempts     int
	prefixTokens api.Tokens
}

type entry struct {
	dispatcher *dispatch.Dispatcher
}

type engine struct {
	name        api.ServerName
	model       *batch.Model
	busy        bool
	crashed     bool
	frozenUntil time.Time
	incarnation int
	runs        map[api.GenerationID]*request
}

// bench is the simulation of one run.
type bench struct {
	clock
	size        Size
	random      *rand.Rand
	entries     []*entry
	engines     []*engine
	reportLag   time.Duration
	result      *Result
	measureFrom time.Time
	// pending are the requests that wait for an engine.
	pending map[api.RequestID]*request
}

// measure simulates one policy under one plan of arrivals, at factor times the capacity.
func measure(s Size, p Policy, m load.Mix, factor float64, faults Faults, seed uint64) *Result {
	b := &bench{size: s, random: rand.New(rand.NewPCG(seed, 99)), reportLag: s.ReportLag, result: newResult(), pending: map[api.RequestID]*request{}}
	b.now = epoch
	b.measureFrom = epoch.Add(s.WarmUp)
	b.build(p, seed)
	perSecond := Capacity(s, m) * factor
	n := int(perSecond * (s.WarmUp + s.Span).Seconds())
	for _, a := range load.Plan(m, n, perSecond, seed) {
		b.at(epoch.Add(a.At), func() { b.arrive(a) })
	}
	if faults {
		b.scheduleFaults()
	}
	end := epoch.Add(s.WarmUp + s.Span)
	b.run(end)
	b.result.finish(s.Span)
	return b.result
}

func (b *bench) build(p Policy, seed uint64) {
	var l []dispatch.Server
	for i := range b.size.Engines {
		n := api.ServerName(fmt.Sprintf("engine-%d", i))
		l = append(l, dispatch.Server{Name: n})
		b.engines = append(b.engines, &engine{name: n, model: batch.New(b.size.Batch), runs: map[api.GenerationID]*request{}})
	}
	for i := range b.size.Entries {
		e := &entry{dispatcher: dispatch.New(p.options(seed + uint64(i)*1000))}
		e.dispatcher.Declare(epoch, l)
		b.entries = append(b.entries, e)
		b.after(0, func() { b.tick(e) })
		for _, x := range b.engines {
			b.after(time.Duration(b.random.Int64N(int64(b.size.ReportEvery))), func() { b.poll(e, x) })
		}
	}
}

// poll reads an engine's load periodically; the report arrives after reportLag.
func (b *bench) poll(e *entry, x *engine) {
	b.after(b.size.ReportEvery, func() { b.poll(e, x) })
	if x.crashed {
		e.dispatcher.MarkUnreachable(x.name)
		return
	}
	if b.now.Before(x.frozenUntil) {
		return
	}
	l := x.model.Load()
	r := api.LoadReport{
		Server: x.name, TimeMS: api.UnixMilliseconds(b.now), Running: l.Running, Waiting: l.Waiting,
		KVUsed: l.KVUsed, KVTotal: l.KVTotal, Preemptions: l.Preemptions, Role: api.EngineRoleServe,
		Loaded: []string{"model/" + model}, StepMS: x.stepMS(b.size),
	}
	b.after(b.reportLag, func() { b.execute(e, e.dispatcher.Report(b.now, r)) })
}

// stepMS returns the step time that an engine reports.
func (x *engine) stepMS(s Size) float64 {
	d := s.Batch.StepBase + time.Duration(x.model.Load().Running)*s.Batch.StepPerGeneration
	return float64(d) / float64(time.Millisecond)
}

func (b *bench) tick(e *entry) {
	b.after(tickInterval, func() { b.tick(e) })
	b.execute(e, e.dispatcher.Tick(b.now))
}

// model is the only model of the simulation.
const model = "desk"

func (b *bench) arrive(a load.Arrival) {
	if !a.Class.Chat {
		return
	}
	e := b.entries[a.Serial%len(b.entries)]
	q := &request{length: a.Output, entry: e, class: a.Class, arrived: b.now, lastToken: b.now, prefixTokens: 16}
	q.work = dispatch.Work{
		Request: api.RequestID(fmt.Sprint(a.Serial)), Workspace: api.WorkspaceName(a.Class.Key), Weight: 1,
		Kind: api.RequestKind(a.Class.Name), Priority: a.Class.Priority, Model: model,
		PromptTokens: a.Prompt, MaxTokens: a.Class.Output.Max, Prefix: a.Class.System, Deadline: b.now.Add(10 * time.Minute),
	}
	b.result.addRequest(b, q)
	b.pending[q.work.Request] = q
	b.execute(e, e.dispatcher.Submit(b.now, q.work))
}

// execute carries out a dispatcher's actions: it starts or refuses their requests.
func (b *bench) execute(e *entry, l []dispatch.Action) {
	for _, a := range l {
		q, ok := b.pending[a.Request]
		if !ok {
			continue
		}
		delete(b.pending, a.Request)
		if a.Refusal != nil {
			b.result.addRefusal(b, q)
			continue
		}
		b.start(e, q, a.Server)
	}
}

func (b *bench) find(n api.ServerName) *engine {
	for _, x := range b.engines {
		if x.name == n {
			return x
		}
	}
	return nil
}

func (b *bench) start(e *entry, q *request, n api.ServerName) {
	x := b.find(n)
	q.engine = x
	if x.crashed {
		e.dispatcher.MarkUnreachable(n)
		b.retry(q)
		return
	}
	q.attempts++
	b.result.addAttempt(b, q)
	q.id = api.GenerationID(fmt.Sprintf("%s-%d", q.work.Request, q.attempts))
	x.runs[q.id] = q
	x.model.Add(batch.Work{ID: q.id, Prompt: q.work.PromptTokens, Length: q.length, Priority: q.work.Priority, Prefix: q.work.Prefix, PrefixTokens: q.prefixTokens})
	b.wake(x)
}

// retry submits a request that got no token again, avoiding the engine that failed.
func (b *bench) retry(q *request) {
	e := q.entry
	b.pending[q.work.Request] = q
	q.work.Avoid = q.engine.name
	b.execute(e, e.dispatcher.Finish(b.now, q.work.Request, 0, false))
	b.execute(e, e.dispatcher.Retry(b.now, q.work))
}

// wake starts the steps of an idle engine.
func (b *bench) wake(x *engine) {
	if x.busy || x.crashed {
		return
	}
	x.busy = true
	b.step(x)
}

func (b *bench) step(x *engine) {
	if b.now.Before(x.frozenUntil) {
		b.at(x.frozenUntil, func() { b.step(x) })
		return
	}
	if x.crashed || x.model.Idle() {
		x.busy = false
		return
	}
	r := x.model.Step()
	incarnation := x.incarnation
	b.result.addPreemptions(b, len(r.Preempted))
	b.after(r.Duration, func() {
		if x.incarnation != incarnation {
			return
		}
		for _, m := range r.Tokens {
			b.token(x, m)
		}
		b.step(x)
	})
}

func (b *bench) token(x *engine, m batch.Token) {
	q, ok := x.runs[m.ID]
	if !ok {
		return
	}
	q.generated++
	b.result.addToken(b, q)
	q.lastToken = b.now
	const progressEvery = 16
	switch {
	case m.Last:
		delete(x.runs, m.ID)
		b.result.addComplete(b, q)
		b.execute(q.entry, q.entry.dispatcher.Finish(b.now, q.work.Request, q.generated, true))
	case q.generated == 1 || q.generated%progressEvery == 0:
		q.entry.dispatcher.Progress(q.work.Request, q.generated)
	}
}

// scheduleFaults schedules the faults of a run.
func (b *bench) scheduleFaults() {
	base := epoch.Add(b.size.WarmUp)
	b.at(base.Add(crashAt), func() { b.crash(b.engines[0]) })
	b.at(base.Add(crashAt+crashFor), func() { b.engines[0].crashed = false })
	b.at(base.Add(freezeAt), func() { b.engines[1].frozenUntil = b.now.Add(freezeFor) })
	b.at(base.Add(lateReportsAt), func() { b.reportLag = lateReportLag })
	b.at(base.Add(lateReportsAt+lateReportsFor), func() { b.reportLag = b.size.ReportLag })
}

func (b *bench) crash(x *engine) {
	x.crashed, x.busy = true, false
	x.incarnation++
	x.model = batch.New(b.size.Batch)
	lost := x.runs
	x.runs = map[api.GenerationID]*request{}
	for _, q := range sortedByID(lost) {
		q.entry.dispatcher.MarkUnreachable(x.name)
		if q.generated == 0 {
			b.retry(q)
			continue
		}
		b.result.addLoss(b, q)
		b.execute(q.entry, q.entry.dispatcher.Finish(b.now, q.work.Request, q.generated, false))
	}
}
