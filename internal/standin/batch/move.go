package batch

import (
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Run is a generation whose prompt is prefilled, with its progress.
type Run struct {
	Work
	// Generated is the number of tokens generated so far.
	Generated api.Tokens
}

// Memory returns the KV memory of the run.
func (r Run) Memory() api.Tokens {
	return r.Prompt + r.Generated
}

// Run returns a running generation. It reports false for one that waits, is being prefilled or
// has ended.
func (m *Model) Run(id api.GenerationID) (Run, bool) {
	i := m.prefilled(id)
	if i < 0 {
		return Run{}, false
	}
	s := m.running[i]
	return Run{Work: s.Work, Generated: s.generated}, true
}

// Take removes a running generation and frees its memory. It reports false where Run does.
func (m *Model) Take(id api.GenerationID) (Run, bool) {
	r, ok := m.Run(id)
	if ok {
		m.Cancel(id)
	}
	return r, ok
}

// Resume continues a run from a copy of its KV cache, so that nothing is prefilled. It joins the
// batch at once, since the memory of a copy is set aside before the run resumes.
func (m *Model) Resume(r Run) {
	m.arrivals++
	s := &sequence{Work: r.Work, generated: r.Generated, arrival: m.arrivals}
	m.running = append(m.running, s)
	m.kvUsed += s.kvTokens()
}

// Reserve sets memory aside for a copy. It reports false if that much is not free.
func (m *Model) Reserve(n api.Tokens) bool {
	if m.kvUsed+m.decoding()+n > m.options.KVTokens {
		return false
	}
	m.kvUsed += n
	return true
}

// Release frees memory that Reserve set aside.
func (m *Model) Release(n api.Tokens) {
	m.kvUsed -= n
}

// prefilled returns the index of a running generation whose prompt is prefilled, or -1.
func (m *Model) prefilled(id api.GenerationID) int {
	return slices.IndexFunc(m.running, func(s *sequence) bool { return s.ID == id && s.prefillLeft == 0 })
}
