package length

import (
	"math"

	"github.com/wardridge/wardridge/internal/api"
)

// Window is the number of answers that a curve effectively remembers.
const Window = 400

// strength is how many answers the more general curve weighs.
const strength = 6

// maxKinds bounds the kinds kept of one workspace.
const maxKinds = 16

// maxWorkspaces bounds the workspaces kept.
const maxWorkspaces = 4096

// refresh is the number of answers after which a built curve is built again.
const refresh = 8

// Key names the curve of a workspace's kind of request.
type Key struct {
	Workspace api.WorkspaceName
	Kind      api.RequestKind
}

// counts estimates the hazard of each bucket from answers that ended and
// answers that were cut off, forgetting old ones.
type counts struct {
	exits [buckets]float32
	risk  [buckets]float32
	built *Curve
	fresh int
	used  uint64
}

func (c *counts) observe(n api.Tokens, ended bool) {
	const keep = 1 - 1.0/Window
	b := bucket(n)
	for i := range c.risk {
		c.exits[i] *= keep
		c.risk[i] *= keep
	}
	for i := range b {
		c.risk[i]++
	}
	if ended {
		c.exits[b]++
		c.risk[b]++
	}
	c.fresh++
}

// hazards blends the counts with the more general hazards.
func (c *counts) hazards(general *[buckets]float64) *[buckets]float64 {
	var h [buckets]float64
	for i := range h {
		h[i] = (float64(c.exits[i]) + strength*general[i]) / (float64(c.risk[i]) + strength)
	}
	return &h
}

type workspace struct {
	all   counts
	kinds map[api.RequestKind]*counts
	used  uint64
}

// Predictor learns curves online.
type Predictor struct {
	all        counts
	workspaces map[api.WorkspaceName]*workspace
	clock      uint64
}

// New makes a predictor that knows nothing yet.
func New() *Predictor {
	return &Predictor{workspaces: map[api.WorkspaceName]*workspace{}}
}

// prior is a heavy tail to start from: the hazard falls as answers get longer.
var prior = func() *[buckets]float64 {
	var h [buckets]float64
	lo := 0.0
	for i := range h {
		const shape, scale = 1.1, 120
		a, b := 1+lo/scale, 1+bounds[i]/scale
		h[i] = 1 - math.Pow(a/b, shape)
		lo = bounds[i]
	}
	return &h
}()

// Observe learns from one answer; ended is false for one that was cut off.
func (p *Predictor) Observe(k Key, n api.Tokens, ended bool) {
	p.clock++
	w := p.workspace(k.Workspace)
	p.all.observe(n, ended)
	w.all.observe(n, ended)
	w.kind(k.Kind, p.clock).observe(n, ended)
}

// Curve gives the curve of a key; an unknown key gets a more general one.
func (p *Predictor) Curve(k Key) *Curve {
	w, ok := p.workspaces[k.Workspace]
	if !ok {
		return p.all.curve(prior)
	}
	c, ok := w.kinds[k.Kind]
	if !ok {
		return w.all.curve(p.all.hazards(prior))
	}
	if c.current() {
		return c.built
	}
	return c.curve(w.all.hazards(p.all.hazards(prior)))
}

func (c *counts) current() bool {
	return c.built != nil && c.fresh < refresh
}

func (c *counts) curve(general *[buckets]float64) *Curve {
	if !c.current() {
		c.built = newCurve(c.hazards(general))
		c.fresh = 0
	}
	return c.built
}

func (p *Predictor) workspace(n api.WorkspaceName) *workspace {
	w, ok := p.workspaces[n]
	if !ok {
		if len(p.workspaces) >= maxWorkspaces {
			delete(p.workspaces, oldest(p.workspaces, func(w *workspace) uint64 { return w.used }))
		}
		w = &workspace{kinds: map[api.RequestKind]*counts{}}
		p.workspaces[n] = w
	}
	w.used = p.clock
	return w
}

func (w *workspace) kind(k api.RequestKind, now uint64) *counts {
	c, ok := w.kinds[k]
	if !ok {
		if len(w.kinds) >= maxKinds {
			delete(w.kinds, oldest(w.kinds, func(c *counts) uint64 { return c.used }))
		}
		c = &counts{}
		w.kinds[k] = c
	}
	c.used = now
	return c
}

// oldest finds the key that was used least recently; uses are unique, so the
// order of the map does not matter.
func oldest[K comparable, V any](m map[K]V, used func(V) uint64) K {
	var k K
	var at uint64
	first := true
	for i, v := range m {
		if u := used(v); first || u < at {
			k, at, first = i, u, false
		}
	}
	return k
}
