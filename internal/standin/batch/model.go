package batch

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Options size one engine.
type Options struct {
	// KVTokens is the cache memory for generations.
	KVTokens api.Tokens
	// PrefixTokens is the cache memory for prompt prefixes.
	PrefixTokens api.Tokens
	// MaxBatch bounds the generations that run at once.
	MaxBatch int
	// PrefillChunk bounds the prompt tokens that one step works on.
	PrefillChunk api.Tokens
	// StepBase is the time of an empty step.
	StepBase time.Duration
	// StepPerGeneration is added for each generation that decodes.
	StepPerGeneration time.Duration
	// StepPerPrefill is added for each prompt token worked on.
	StepPerPrefill time.Duration
}

// Defaults size an engine of a few tens of generations.
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

// Work is one generation; Length is the true length, which only the engine
// learns by generating.
type Work struct {
	ID           api.GenerationID
	Prompt       api.Tokens
	Length       api.Tokens
	Priority     api.Priority
	Prefix       string
	PrefixTokens api.Tokens
}

// Emitted is one new token, or the end once Index reaches the length.
type Emitted struct {
	ID    api.GenerationID
	Index api.Tokens
	Last  bool
}

// CacheChange tells that a prefix entered or left the cache.
type CacheChange struct {
	Prefix string
	Stored bool
}

// Result is what one step did.
type Result struct {
	Took      time.Duration
	Emitted   []Emitted
	Preempted []api.GenerationID
	Cache     []CacheChange
}

type sequence struct {
	Work
	made      api.Tokens
	prefill   api.Tokens
	arrived   int
	preempted int
}

// held is the memory the sequence takes while it runs.
func (s *sequence) held() api.Tokens {
	return s.Prompt + s.made
}

// Model is the state of one engine.
type Model struct {
	options     Options
	running     []*sequence
	waiting     []*sequence
	prefixes    []prefix
	used        api.Tokens
	arrivals    int
	preemptions int
}

// New makes an idle engine.
func New(o Options) *Model {
	return &Model{options: o}
}

// Add puts a generation in line.
func (m *Model) Add(w Work) {
	m.arrivals++
	m.wait(&sequence{Work: w, arrived: m.arrivals})
}

// wait keeps the line in order of priority and arrival.
func (m *Model) wait(s *sequence) {
	i, _ := slices.BinarySearchFunc(m.waiting, s, order)
	m.waiting = slices.Insert(m.waiting, i, s)
}

func order(a, b *sequence) int {
	if r := a.Priority.Rank() - b.Priority.Rank(); r != 0 {
		return r
	}
	return a.arrived - b.arrived
}

// Cancel ends a generation and reports whether it was there.
func (m *Model) Cancel(id api.GenerationID) bool {
	is := func(s *sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(m.running, is); i >= 0 {
		m.used -= m.running[i].held()
		m.running = slices.Delete(m.running, i, i+1)
		return true
	}
	n := len(m.waiting)
	m.waiting = slices.DeleteFunc(m.waiting, is)
	return len(m.waiting) < n
}

// Idle reports whether nothing runs or waits.
func (m *Model) Idle() bool {
	return len(m.running) == 0 && len(m.waiting) == 0
}

// Load is the engine's state for a report.
type Load struct {
	Running     int
	Waiting     int
	Used        api.Tokens
	Total       api.Tokens
	Preemptions int
}

// Load counts the engine's state now.
func (m *Model) Load() Load {
	return Load{
		Running:     len(m.running),
		Waiting:     len(m.waiting),
		Used:        m.used,
		Total:       m.options.KVTokens,
		Preemptions: m.preemptions,
	}
}

// Step admits what fits, works on prompts and makes one token for every
// generation whose prompt is done.
func (m *Model) Step() Result {
	var r Result
	m.admit(&r)
	p := m.prefill()
	m.makeRoom(&r)
	n := m.decode(&r)
	r.Took = m.options.StepBase +
		time.Duration(n)*m.options.StepPerGeneration +
		time.Duration(p)*m.options.StepPerPrefill
	return r
}

// makeRoom preempts until every decoding generation can grow by one token.
func (m *Model) makeRoom(r *Result) {
	for len(m.running) > 1 && m.used+m.growing() > m.options.KVTokens {
		i := m.victim()
		s := m.running[i]
		m.running = slices.Delete(m.running, i, i+1)
		m.used -= s.held()
		s.preempted++
		m.preemptions++
		r.Preempted = append(r.Preempted, s.ID)
		m.wait(s)
	}
}

func (m *Model) growing() api.Tokens {
	n := api.Tokens(0)
	for _, s := range m.running {
		if s.prefill == 0 {
			n++
		}
	}
	return n
}

// victim is the latest of the lowest priority.
func (m *Model) victim() int {
	v := 0
	for i, s := range m.running {
		if order(s, m.running[v]) > 0 {
			v = i
		}
	}
	return v
}

// admit starts waiting generations while their prompts fit, and keeps a little
// memory free for those that run.
func (m *Model) admit(r *Result) {
	const reserve = 100
	for len(m.waiting) > 0 && len(m.running) < m.options.MaxBatch {
		s := m.waiting[0]
		free := m.options.KVTokens - m.used - m.growing() - m.options.KVTokens/reserve
		if s.held() > free && len(m.running) > 0 {
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, s)
		m.used += s.held()
		s.prefill = max(1, s.held()-m.hit(s, r))
	}
}

// prefill works on prompts in order of arrival and returns the tokens done.
func (m *Model) prefill() api.Tokens {
	left := m.options.PrefillChunk
	for _, s := range m.running {
		n := min(left, s.prefill)
		s.prefill -= n
		left -= n
	}
	return m.options.PrefillChunk - left
}

// decode makes a token for each generation whose prompt is done.
func (m *Model) decode(r *Result) int {
	n := 0
	kept := m.running[:0]
	for _, s := range m.running {
		if s.prefill > 0 {
			kept = append(kept, s)
			continue
		}
		n++
		s.made++
		m.used++
		last := s.made >= s.Length
		r.Emitted = append(r.Emitted, Emitted{ID: s.ID, Index: s.made - 1, Last: last})
		if last {
			m.used -= s.held()
			continue
		}
		kept = append(kept, s)
	}
	clear(m.running[len(kept):])
	m.running = kept
	return n
}
