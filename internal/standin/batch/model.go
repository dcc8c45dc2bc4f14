package batch

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Options are the memory, the batch size and the step times of an engine.
type Options struct {
	// KVTokens is the KV cache memory for generations.
	KVTokens api.Tokens
	// PrefixTokens is the cache memory for shared prompt prefixes.
	PrefixTokens api.Tokens
	// MaxBatch bounds the number of generations that run at once.
	MaxBatch int
	// PrefillChunk bounds the prompt tokens that one step prefills.
	PrefillChunk api.Tokens
	// StepBase is the fixed part of the duration of a step.
	StepBase time.Duration
	// StepPerGeneration is added for each generation that decodes.
	StepPerGeneration time.Duration
	// StepPerPrefill is added for each prefilled prompt token.
	StepPerPrefill time.Duration
}

// Defaults returns options of an engine that runs a few tens of generations at once.
func Defaults() Options {
	return Options{
		KVTokens:          32768,
		PrefixTokens:      8192,
		MaxBatch:          64,
		PrefillChunk:      1024,
		StepBase:          12 * time.Millisecond,
		StepPerGeneration: 400 * time.Microsecond,
		StepPerPrefill:    20 * time.Microsecond,
	}
}

// AtSpeed returns the options of an engine whose steps are faster by a factor.
func (o Options) AtSpeed(factor float64) Options {
	for _, d := range []*time.Duration{&o.StepBase, &o.StepPerGeneration, &o.StepPerPrefill} {
		*d = time.Duration(float64(*d) / factor)
	}
	return o
}

// Work is one generation. Length is the actual number of tokens of the answer, which
// callers learn only when the generation ends.
type Work struct {
	ID           api.GenerationID
	Prompt       api.Tokens
	Length       api.Tokens
	Priority     api.Priority
	Prefix       string
	PrefixTokens api.Tokens
}

// Token is one generated token; Last marks the final token of its generation.
type Token struct {
	ID    api.GenerationID
	Index api.Tokens
	Last  bool
}

// CacheChange records that a prefix entered the cache (Stored) or left it.
type CacheChange struct {
	Prefix string
	Stored bool
}

// Result is the outcome of one step.
type Result struct {
	Duration     time.Duration
	Tokens       []Token
	Preempted    []api.GenerationID
	CacheChanges []CacheChange
}

type sequence struct {
	Work
	generated   api.Tokens
	prefillLeft api.Tokens
	arrival     int
	preempted   int
}

// kvTokens returns the KV memory of the sequence while it runs.
func (s *sequence) kvTokens() api.Tokens {
	return s.Prompt + s.generated
}

// Model is the simulated state of one engine.
type Model struct {
	options     Options
	running     []*sequence
	waiting     []*sequence
	prefixes    []prefix
	kvUsed      api.Tokens
	arrivals    int
	preemptions int
}

// New returns an idle engine.
func New(o Options) *Model {
	return &Model{options: o}
}

// Add queues a generation.
func (m *Model) Add(w Work) {
	m.arrivals++
	m.enqueue(&sequence{Work: w, arrival: m.arrivals})
}

// enqueue inserts a sequence into the queue, which is ordered by priority and arrival.
func (m *Model) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(m.waiting, s, compareRank)
	m.waiting = slices.Insert(m.waiting, i, s)
}

func compareRank(a, b *sequence) int {
	if r := a.Priority.Rank() - b.Priority.Rank(); r != 0 {
		return r
	}
	return a.arrival - b.arrival
}

// Cancel removes a generation and reports whether it was running or waiting.
func (m *Model) Cancel(id api.GenerationID) bool {
	is := func(s *sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(m.running, is); i >= 0 {
		m.kvUsed -= m.running[i].kvTokens()
		m.running = slices.Delete(m.running, i, i+1)
		return true
	}
	n := len(m.waiting)
	m.waiting = slices.DeleteFunc(m.waiting, is)
	return len(m.waiting) < n
}

// Idle reports whether no generation runs or waits.
func (m *Model) Idle() bool {
	return len(m.running) == 0 && len(m.waiting) == 0
}

// Load is the load of an engine as it appears in a load report.
type Load struct {
	Running     int
	Waiting     int
	KVUsed      api.Tokens
	KVTotal     api.Tokens
	Preemptions int
}

// Load returns the current load.
func (m *Model) Load() Load {
	return Load{
		Running:     len(m.running),
		Waiting:     len(m.waiting),
		KVUsed:      m.kvUsed,
		KVTotal:     m.options.KVTokens,
		Preemptions: m.preemptions,
	}
}

// Step admits the generations that fit, prefills prompts, preempts if memory runs out,
// and generates one token for every generation whose prefill is done.
func (m *Model) Step() Result {
	var r Result
	m.admit(&r)
	p := m.prefill()
	m.preempt(&r)
	n := m.decode(&r)
	r.Duration = m.options.StepBase +
		time.Duration(n)*m.options.StepPerGeneration +
		time.Duration(p)*m.options.StepPerPrefill
	return r
}

// preempt returns running generations to the queue until every decoding generation has
// memory for one more token. The last one running is never preempted.
func (m *Model) preempt(r *Result) {
	for len(m.running) > 1 && m.kvUsed+m.decoding() > m.options.KVTokens {
		i := m.victim()
		s := m.running[i]
		m.running = slices.Delete(m.running, i, i+1)
		m.kvUsed -= s.kvTokens()
		s.preempted++
		m.preemptions++
		r.Preempted = append(r.Preempted, s.ID)
		m.enqueue(s)
	}
}

func (m *Model) decoding() api.Tokens {
	n := api.Tokens(0)
	for _, s := range m.running {
		if s.prefillLeft == 0 {
			n++
		}
	}
	return n
}

// victim returns the index of the running generation to preempt: the one of the lowest priority that arrived last.
func (m *Model) victim() int {
	v := 0
	for i, s := range m.running {
		if compareRank(s, m.running[v]) > 0 {
			v = i
		}
	}
	return v
}

// admit starts waiting generations while they fit into memory, and keeps 1/reserve of the
// memory free for the growth of those that run. An idle engine admits regardless of size.
func (m *Model) admit(r *Result) {
	const reserve = 100
	for len(m.waiting) > 0 && len(m.running) < m.options.MaxBatch {
		s := m.waiting[0]
		free := m.options.KVTokens - m.kvUsed - m.decoding() - m.options.KVTokens/reserve
		if s.kvTokens() > free && len(m.running) > 0 {
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, s)
		m.kvUsed += s.kvTokens()
		s.prefillLeft = max(1, s.kvTokens()-m.usePrefix(s, r))
	}
}

// prefill processes up to PrefillChunk prompt tokens in order of admission and returns their number.
func (m *Model) prefill() api.Tokens {
	left := m.options.PrefillChunk
	for _, s := range m.running {
		n := min(left, s.prefillLeft)
		s.prefillLeft -= n
		left -= n
	}
	return m.options.PrefillChunk - left
}

// decode generates one token for each generation whose prefill is done, and returns the
// number of tokens.
func (m *Model) decode(r *Result) int {
	n := 0
	kept := m.running[:0]
	for _, s := range m.running {
		if s.prefillLeft > 0 {
			kept = append(kept, s)
			continue
		}
		n++
		s.generated++
		m.kvUsed++
		last := s.generated >= s.Length
		r.Tokens = append(r.Tokens, Token{ID: s.ID, Index: s.generated - 1, Last: last})
		if last {
			m.kvUsed -= s.kvTokens()
			continue
		}
		kept = append(kept, s)
	}
	clear(m.running[len(kept):])
	m.running = kept
	return n
}
