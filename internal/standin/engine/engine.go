package engine

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/standin/batch"
)

// MetadataTokens is the metadata key by which a load generator sets the actual length
// of an answer. Entry VMs forward it without reading it.
const MetadataTokens = "standin_tokens"

// Options configure an engine.
type Options struct {
	Name  api.ServerName
	Batch batch.Options
	// ReportLag is the age of a load report when it is served.
	ReportLag time.Duration
	// CacheLag is the age of a cache event when it is first served.
	CacheLag time.Duration
	// CacheLossPercent is the percentage of cache events that are lost.
	CacheLossPercent int
	// OrphanTimeout is how long a generation is retained without a reader.
	OrphanTimeout time.Duration
	// LoadTime is the duration of an order to load an item.
	LoadTime time.Duration
	// ChecksFence makes the engine refuse orders whose fence is older than one it has seen.
	ChecksFence bool
	// Loaded are the items loaded at start, as kind/name@weights.
	Loaded []string
	Seed   uint64
}

// Defaults returns the options of a small engine.
func Defaults() Options {
	return Options{
		Name:             "engine",
		Batch:            batch.Defaults(),
		ReportLag:        200 * time.Millisecond,
		CacheLag:         200 * time.Millisecond,
		CacheLossPercent: 5,
		OrphanTimeout:    30 * time.Second,
		LoadTime:         200 * time.Millisecond,
		ChecksFence:      true,
		Seed:             1,
	}
}

// generation is the state of one generation and the number of streams that read it.
type generation struct {
	id        api.GenerationID
	generated int
	finish    api.FinishReason
	preempted int
	readers   int
	idleSince time.Time
	changed   chan struct{}
}

type cacheEvent struct {
	api.CacheEvent
	at time.Time
}

// Engine is a stand-in for one model engine.
type Engine struct {
	options Options
	log     *event.Log
	random  *rand.Rand

	mutex         sync.Mutex
	model         *batch.Model
	generations   map[api.GenerationID]*generation
	reports       []api.LoadReport
	cacheLog      []cacheEvent
	cacheSeq      int
	lastStep      time.Duration
	leaving       bool
	frozenUntil   time.Time
	streamsToDrop int
	role          api.EngineRole
	loaded        []string
	fence         api.Fence
	started       int
	workAdded     chan struct{}
}

// New returns an engine that executes no steps until Run is called.
func New(o Options, l *event.Log) *Engine {
	return &Engine{
		options:     o,
		log:         l,
		random:      rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(o.Name)))),
		model:       batch.New(o.Batch),
		generations: map[api.GenerationID]*generation{},
		role:        api.EngineRoleServe,
		loaded:      slices.Clone(o.Loaded),
		workAdded:   make(chan struct{}, 1),
	}
}

// Run executes batch steps, records load reports and removes orphans until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	const reportEvery = 20 * time.Millisecond
	last := time.Time{}
	for {
		now := time.Now()
		if now.Sub(last) >= reportEvery {
			e.recordLoad(now)
			e.removeOrphans(now)
			last = now
		}
		d := e.advance(now)
		if d == 0 {
			d = reportEvery
			select {
			case <-e.workAdded:
				d = 0
			case <-time.After(d):
			case <-ctx.Done():
				return nil
			}
		}
		if !duty.Sleep(ctx, time.Until(now.Add(d))) {
			return nil
		}
	}
}

// advance executes one step and returns its duration: the remaining freeze while frozen,
// 0 when the engine is idle.
func (e *Engine) advance(now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Before(e.frozenUntil) {
		return e.frozenUntil.Sub(now)
	}
	if e.model.Idle() {
		return 0
	}
	r := e.model.Step()
	e.lastStep = r.Duration
	for _, x := range r.Tokens {
		e.recordToken(now, x)
	}
	for _, id := range r.Preempted {
		if g, ok := e.generations[id]; ok {
			g.preempted++
		}
	}
	for _, c := range r.CacheChanges {
		e.recordCacheChange(now, c)
	}
	return r.Duration
}

func (e *Engine) recordToken(now time.Time, x batch.Token) {
	g, ok := e.generations[x.ID]
	if !ok {
		return
	}
	g.generated = int(x.Index) + 1
	if x.Last && g.finish == "" {
		g.finish = api.FinishReasonStop
		g.idleSince = now
	}
	g.notifyReaders()
}

// notifyReaders wakes every reader. The caller holds the engine's mutex.
func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (e *Engine) recordCacheChange(now time.Time, c batch.CacheChange) {
	e.cacheSeq++
	if e.random.IntN(100) < e.options.CacheLossPercent {
		return
	}
	const kept = 1024
	e.cacheLog = append(e.cacheLog, cacheEvent{api.CacheEvent{Seq: e.cacheSeq, Prefix: c.Prefix, Stored: c.Stored}, now})
	if len(e.cacheLog) > kept {
		e.cacheLog = slices.Clone(e.cacheLog[len(e.cacheLog)-kept:])
	}
}

func (e *Engine) recordLoad(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Before(e.frozenUntil) {
		return
	}
	l := e.model.Load()
	e.reports = append(e.reports, api.LoadReport{
		Server:      e.options.Name,
		TimeMS:      api.UnixMilliseconds(now),
		Running:     l.Running,
		Waiting:     l.Waiting,
		KVUsed:      l.KVUsed,
		KVTotal:     l.KVTotal,
		StepMS:      float64(e.lastStep) / float64(time.Millisecond),
		Preemptions: l.Preemptions,
		Leaving:     e.leaving,
		Role:        e.role,
		Loaded:      slices.Clone(e.loaded),
		Fence:       e.fence,
	})
	// Retain the newest report that is at least ReportLag old and all later ones.
	cut := api.UnixMilliseconds(now.Add(-e.options.ReportLag))
	for len(e.reports) > 1 && e.reports[1].TimeMS <= cut {
		e.reports = e.reports[1:]
	}
}

// removeOrphans cancels and removes generations, finished or not, that have had no reader
// for OrphanTimeout.
func (e *Engine) removeOrphans(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id, g := range e.generations {
		if g.readers > 0 || now.Sub(g.idleSince) < e.options.OrphanTimeout {
			continue
		}
		e.model.Cancel(id)
		delete(e.generations, id)
	}
}

// refusalReason returns why a request must be refused, or "" if it is accepted.
func (e *Engine) refusalReason(r api.GenerateRequest) api.EngineRefusalReason {
	switch {
	case e.leaving:
		return api.EngineRefusalReasonLeaving
	case e.role != api.EngineRoleServe:
		return api.EngineRefusalReasonNotServing
	case !e.hasLoaded(api.ResourceKindModel, string(r.Model)):
		return api.EngineRefusalReasonNotLoaded
	case r.Adapter != "" && !e.hasLoaded(api.ResourceKindAdapter, string(r.Adapter)):
		return api.EngineRefusalReasonNotLoaded
	case r.PromptTokens <= 0 || r.PromptTokens >= e.options.Batch.KVTokens:
		return api.EngineRefusalReasonBadRequest
	case e.generations[r.Generation] != nil:
		return api.EngineRefusalReasonBadRequest
	default:
		return ""
	}
}

func (e *Engine) hasLoaded(k api.ResourceKind, n string) bool {
	want := string(k) + "/" + n
	return slices.ContainsFunc(e.loaded, func(i string) bool { return api.ItemName(i) == want })
}

// start starts a generation with one reader, or returns the reason for refusing it.
func (e *Engine) start(r api.GenerateRequest) (*generation, api.EngineRefusalReason) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if why := e.refusalReason(r); why != "" {
		return nil, why
	}
	g := &generation{id: r.Generation, readers: 1, changed: make(chan struct{})}
	e.generations[r.Generation] = g
	e.started++
	n := e.answerLength(r)
	e.model.Add(batch.Work{
		ID:           r.Generation,
		Prompt:       r.PromptTokens,
		Length:       min(n, r.MaxTokens),
		Priority:     r.Priority,
		Prefix:       r.Prefix,
		PrefixTokens: r.PrefixTokens,
	})
	select {
	case e.workAdded <- struct{}{}:
	default:
	}
	return g, ""
}

// answerLength returns the actual length of the answer: the one set under MetadataTokens,
// or one drawn from a heavy-tailed distribution seeded with the prompt.
func (e *Engine) answerLength(r api.GenerateRequest) api.Tokens {
	if n, err := strconv.Atoi(r.Metadata[MetadataTokens]); err == nil && n > 0 {
		return api.Tokens(n)
	}
	const median, spread = 40, 0.8
	d := rand.New(rand.NewPCG(xxhash.Sum64String(r.Prompt), e.options.Seed))
	return api.Tokens(max(1, median*math.Exp(spread*d.NormFloat64())))
}

// addReader adds a reader to a generation, and reports whether the generation is known.
func (e *Engine) addReader(id api.GenerationID) (*generation, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	g, ok := e.generations[id]
	if ok {
		g.readers++
	}
	return g, ok
}

func (e *Engine) removeReader(g *generation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	g.readers--
	g.idleSince = time.Now()
}

// cancel cancels a generation and reports whether it was known.
func (e *Engine) cancel(id api.GenerationID) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	g, ok := e.generations[id]
	if !ok {
		return false
	}
	e.model.Cancel(id)
	if g.finish == "" {
		g.finish = api.FinishReasonCancelled
		g.idleSince = time.Now()
	}
	g.notifyReaders()
	return true
}

// apply executes an order, or returns the reason for refusing it. With ChecksFence, an
// order whose fence is older than one seen before is refused.
func (e *Engine) apply(o api.Order) api.EngineRefusalReason {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.ChecksFence && o.Fence < e.fence {
		return api.EngineRefusalReasonOldFence
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Action {
	case api.OrderActionLoad:
		if !slices.Contains(e.loaded, o.Item) {
			e.loaded = append(e.loaded, o.Item)
		}
	case api.OrderActionUnload:
		e.loaded = slices.DeleteFunc(slices.Clone(e.loaded), func(i string) bool { return i == o.Item })
	case api.OrderActionRole:
		e.role = api.EngineRole(o.Role)
	default:
		return api.EngineRefusalReasonBadRequest
	}
	e.log.Emit(event.StandInOrderApplied, zap.Int("fence", int(o.Fence)), zap.String("action", string(o.Action)), zap.String("item", o.Item))
	return ""
}

// Leave makes load reports state that the engine is leaving, and refuses new generations.
func (e *Engine) Leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// Freeze stops the engine's steps, reports and streams for a duration.
func (e *Engine) Freeze(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozenUntil = time.Now().Add(d)
}

// DropStreams aborts n streams after their generations have produced more than one token.
func (e *Engine) DropStreams(n int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.streamsToDrop = n
}

// Started returns the number of generations started so far.
func (e *Engine) Started() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started
}

// Active returns the number of running and waiting generations.
func (e *Engine) Active() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := e.model.Load()
	return l.Running + l.Waiting
}
