package batch

import (
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

type prefix struct {
	name   string
	tokens api.Tokens
}

// usePrefix returns the prompt tokens that the prefix cache saves, and stores the
// prefix as the most recently used one.
func (m *Model) usePrefix(s *sequence, r *Result) api.Tokens {
	if s.Prefix == "" {
		return 0
	}
	saved := api.Tokens(0)
	i := slices.IndexFunc(m.prefixes, func(p prefix) bool { return p.name == s.Prefix })
	if i >= 0 {
		saved = min(m.prefixes[i].tokens, s.Prompt)
		m.prefixes = slices.Delete(m.prefixes, i, i+1)
	} else {
		r.CacheChanges = append(r.CacheChanges, CacheChange{Prefix: s.Prefix, Stored: true})
	}
	m.prefixes = append(m.prefixes, prefix{s.Prefix, s.PrefixTokens})
	m.evict(r)
	return saved
}

// evict removes the least recently used prefixes until the cache is within its limit.
func (m *Model) evict(r *Result) {
	n := api.Tokens(0)
	for _, p := range m.prefixes {
		n += p.tokens
	}
	for n > m.options.PrefixTokens && len(m.prefixes) > 0 {
		p := m.prefixes[0]
		m.prefixes = m.prefixes[1:]
		n -= p.tokens
		r.CacheChanges = append(r.CacheChanges, CacheChange{Prefix: p.name, Stored: false})
	}
}
