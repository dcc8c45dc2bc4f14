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

// Size is the system that a run measures.
type Size struct {
	Entries int
	Engines int
	Batch   batch.Options
	// ReportEvery is the time between reads of an engine's load.
	ReportEvery time.Duration
	// ReportLag is the age of a report when it is read.
	ReportLag time.Duration
	// Warm is left out of the figures; Span is measured.
	Warm, Span time.Duration
}

// Today is a small part of today's system.
func Today() Size {
	return Size{
		Entries: 4, Engines: 4, Batch: batch.Defaults(),
		ReportEvery: 500 * time.Millisecond, ReportLag: 200 * time.Millisecond,
		Warm: 20 * time.Second, Span: 60 * time.Second,
	}
}

// Faults tells whether a run has an engine's death, a freeze and a spell of
// late reports in it.
type Faults bool

// Times of faults after the warm time, and how long they last.
const (
	deathAt    = 10 * time.Second
	deathFor   = 10 * time.Second
	freezeAt   = 25 * time.Second
	freezeFor  = 3 * time.Second
	lateAt     = 35 * time.Second
	lateFor    = 10 * time.Second
	lateReport = 5 * time.Second
)

// tick is the time between the dispatchers' own rounds; queueWait is the
// product's longest wait for an engine.
const (
	tick      = 50 * time.Millisecond
	queueWait = 10 * time.Second
)

type request struct {
	work   dispatch.Work
	length api.Tokens
	entry  *entry
	class  *load.Class
	came   time.Time
	last   time.Time
	made   api.Tokens
	stall  time.Duration
	engine *engine
	id     api.GenerationID
	tries  int
	prefix api.Tokens
}

type entry struct {
	decide *dispatch.Dispatcher
}

type engine struct {
	name   api.ServerName
	model  *batch.Model
	busy   bool
	dead   bool
	frozen time.Time
	life   int
	runs   map[api.GenerationID]*request
}

// bench is one run.
type bench struct {
	clock
	size    Size
	random  *rand.Rand
	entries []*entry
	engines []*engine
	lag     time.Duration
	result  *Result
	counted time.Time
	// pending are the requests that have no engine yet.
	pending map[api.RequestID]*request
}

// run measures one policy on one plan.
func measure(s Size, p Policy, m load.Mix, factor float64, faults Faults, seed uint64) *Result {
	b := &bench{size: s, random: rand.New(rand.NewPCG(seed, 99)), lag: s.ReportLag, result: newResult(), pending: map[api.RequestID]*request{}}
	b.now = epoch
	b.counted = epoch.Add(s.Warm)
	b.build(p, seed)
	perSecond := Capacity(s, m) * factor
	n := int(perSecond * (s.Warm + s.Span).Seconds())
	for _, a := range load.Plan(m, n, perSecond, seed) {
		b.at(epoch.Add(a.At), func() { b.arrive(a) })
	}
	if faults {
		b.fault()
	}
	end := epoch.Add(s.Warm + s.Span)
	b.run(end)
	b.result.close(s.Span)
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
		e := &entry{decide: dispatch.New(p.options(seed + uint64(i)*1000))}
		e.decide.Declare(epoch, l)
		b.entries = append(b.entries, e)
		b.after(0, func() { b.tick(e) })
		for _, x := range b.engines {
			b.after(time.Duration(b.random.Int64N(int64(b.size.ReportEvery))), func() { b.poll(e, x) })
		}
	}
}

// poll reads an engine's load, which arrives late, again and again.
func (b *bench) poll(e *entry, x *engine) {
	b.after(b.size.ReportEvery, func() { b.poll(e, x) })
	if x.dead {
		e.decide.MarkUnreachable(x.name)
		return
	}
	if b.now.Before(x.frozen) {
		return
	}
	l := x.model.Load()
	r := api.LoadReport{
		Server: x.name, TimeMS: api.UnixMilliseconds(b.now), Running: l.Running, Waiting: l.Waiting,
		KVUsed: l.KVUsed, KVTotal: l.KVTotal, Preemptions: l.Preemptions, Role: api.EngineRoleServe,
		Loaded: []string{"model/" + model}, StepMS: x.stepMS(b.size),
	}
	b.after(b.lag, func() { b.carry(e, e.decide.Report(b.now, r)) })
}

// stepMS is the step time that an engine reports.
func (x *engine) stepMS(s Size) float64 {
	d := s.Batch.StepBase + time.Duration(x.model.Load().Running)*s.Batch.StepPerGeneration
	return float64(d) / float64(time.Millisecond)
}

func (b *bench) tick(e *entry) {
	b.after(tick, func() { b.tick(e) })
	b.carry(e, e.decide.Tick(b.now))
}

// model is the one model of the bench.
const model = "desk"

func (b *bench) arrive(a load.Arrival) {
	if !a.Class.Chat {
		return
	}
	e := b.entries[a.Serial%len(b.entries)]
	q := &request{length: a.Output, entry: e, class: a.Class, came: b.now, last: b.now, prefix: 16}
	q.work = dispatch.Work{
		Request: api.RequestID(fmt.Sprint(a.Serial)), Workspace: api.WorkspaceName(a.Class.Key), Weight: 1,
		Kind: api.RequestKind(a.Class.Name), Priority: a.Class.Priority, Model: model,
		PromptTokens: a.Prompt, MaxTokens: a.Class.Output.Max, Prefix: a.Class.System, Deadline: b.now.Add(10 * time.Minute),
	}
	b.result.asked(b, q)
	b.pending[q.work.Request] = q
	b.carry(e, e.decide.Submit(b.now, q.work))
}

// carry carries a dispatcher's decisions out.
func (b *bench) carry(e *entry, l []dispatch.Action) {
	for _, a := range l {
		q, ok := b.pending[a.Request]
		if !ok {
			continue
		}
		delete(b.pending, a.Request)
		if a.Refusal != nil {
			b.result.refused(b, q)
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
	if x.dead {
		e.decide.MarkUnreachable(n)
		b.again(q)
		return
	}
	q.tries++
	b.result.sent(b, q)
	q.id = api.GenerationID(fmt.Sprintf("%s-%d", q.work.Request, q.tries))
	x.runs[q.id] = q
	x.model.Add(batch.Work{ID: q.id, Prompt: q.work.PromptTokens, Length: q.length, Priority: q.work.Priority, Prefix: q.work.Prefix, PrefixTokens: q.prefix})
	b.wake(x)
}

// again tries a request without a token on another engine.
func (b *bench) again(q *request) {
	e := q.entry
	b.pending[q.work.Request] = q
	q.work.Avoid = q.engine.name
	b.carry(e, e.decide.Finish(b.now, q.work.Request, 0, false))
	b.carry(e, e.decide.Retry(b.now, q.work))
}

// wake steps an engine that stood idle.
func (b *bench) wake(x *engine) {
	if x.busy || x.dead {
		return
	}
	x.busy = true
	b.step(x)
}

func (b *bench) step(x *engine) {
	if b.now.Before(x.frozen) {
		b.at(x.frozen, func() { b.step(x) })
		return
	}
	if x.dead || x.model.Idle() {
		x.busy = false
		return
	}
	r := x.model.Step()
	life := x.life
	b.result.preempted(b, len(r.Preempted))
	b.after(r.Duration, func() {
		if x.life != life {
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
	q.made++
	b.result.token(b, q)
	q.last = b.now
	const progressEvery = 16
	switch {
	case m.Last:
		delete(x.runs, m.ID)
		b.result.whole(b, q)
		b.carry(q.entry, q.entry.decide.Finish(b.now, q.work.Request, q.made, true))
	case q.made == 1 || q.made%progressEvery == 0:
		q.entry.decide.Progress(q.work.Request, q.made)
	}
}

// fault plans the faults of a run.
func (b *bench) fault() {
	base := epoch.Add(b.size.Warm)
	b.at(base.Add(deathAt), func() { b.die(b.engines[0]) })
	b.at(base.Add(deathAt+deathFor), func() { b.engines[0].dead = false })
	b.at(base.Add(freezeAt), func() { b.engines[1].frozen = b.now.Add(freezeFor) })
	b.at(base.Add(lateAt), func() { b.lag = lateReport })
	b.at(base.Add(lateAt+lateFor), func() { b.lag = b.size.ReportLag })
}

func (b *bench) die(x *engine) {
	x.dead, x.busy = true, false
	x.life++
	x.model = batch.New(b.size.Batch)
	lost := x.runs
	x.runs = map[api.GenerationID]*request{}
	for _, q := range ordered(lost) {
		q.entry.decide.MarkUnreachable(x.name)
		if q.made == 0 {
			b.again(q)
			continue
		}
		b.result.lost(b, q)
		b.carry(q.entry, q.entry.decide.Finish(b.now, q.work.Request, q.made, false))
	}
}
