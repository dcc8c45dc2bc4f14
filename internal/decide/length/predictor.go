package length

import (
	"math"

	"github.com/wardridge/wardridge/internal/api"
)

// Window is the number of answers that a curve effectively remembers.
const Window = 400

// priorWeight is how many answers the more general curve weighs.
const priorWeight = 6

// maxKinds bounds the kinds kept of one workspace.
const maxKinds = 16

// maxWorkspaces bounds the workspaces kept.
const maxWorkspaces = 4096

// rebuildAfter is the number of answers after which a built curve is built again.
const rebuildAfter = 8

// Key names the curve of a workspace's kind of request.
type Key struct {
	Workspace api.WorkspaceName
	Kind      api.RequestKind
}

// hazardEstimator estimates the hazard of each bucket from answers that ended and
// answers that were cut off, forgetting old ones.
type hazardEstimator struct {
	ended    [buckets]float32
	atRisk   [buckets]float32
	cached   *Curve
	uncached int
	lastUsed uint64
}

func (e *hazardEstimator) observe(n api.Tokens, ended bool) {
	const keep = 1 - 1.0/Window
	b := bucketOf(n)
	for i := range e.atRisk {
		e.ended[i] *= keep
		e.atRisk[i] *= keep
	}
	for i := range b {
		e.atRisk[i]++
	}
	if ended {
		e.ended[b]++
		e.atRisk[b]++
	}
	e.uncached++
}

// hazards blends the counts with the more general hazards.
func (e *hazardEstimator) hazards(general *[buckets]float64) *[buckets]float64 {
	var h [buckets]float64
	for i := range h {
		h[i] = (float64(e.ended[i]) + priorWeight*general[i]) / (float64(e.atRisk[i]) + priorWeight)
	}
	return &h
}

type workspace struct {
	overall  hazardEstimator
	kinds    map[api.RequestKind]*hazardEstimator
	lastUsed uint64
}

// Predictor learns curves online.
type Predictor struct {
	overall    hazardEstimator
	workspaces map[api.WorkspaceName]*workspace
	uses       uint64
}

// New makes a predictor that knows nothing yet.
func New() *Predictor {
	return &Predictor{workspaces: map[api.WorkspaceName]*workspace{}}
}

// priorHazards is a heavy tail to start from: the hazard falls as answers get longer.
var priorHazards = func() *[buckets]float64 {
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
	p.uses++
	w := p.workspace(k.Workspace)
	p.overall.observe(n, ended)
	w.overall.observe(n, ended)
	w.kind(k.Kind, p.uses).observe(n, ended)
}

// Curve gives the curve of a key; an unknown key gets a more general one.
func (p *Predictor) Curve(k Key) *Curve {
	w, ok := p.workspaces[k.Workspace]
	if !ok {
		return p.overall.curve(priorHazards)
	}
	c, ok := w.kinds[k.Kind]
	if !ok {
		return w.overall.curve(p.overall.hazards(priorHazards))
	}
	if c.cacheValid() {
		return c.cached
	}
	return c.curve(w.overall.hazards(p.overall.hazards(priorHazards)))
}

func (e *hazardEstimator) cacheValid() bool {
	return e.cached != nil && e.uncached < rebuildAfter
}

func (e *hazardEstimator) curve(general *[buckets]float64) *Curve {
	if !e.cacheValid() {
		e.cached = newCurve(e.hazards(general))
		e.uncached = 0
	}
	return e.cached
}

func (p *Predictor) workspace(n api.WorkspaceName) *workspace {
	w, ok := p.workspaces[n]
	if !ok {
		if len(p.workspaces) >= maxWorkspaces {
			delete(p.workspaces, leastRecentlyUsed(p.workspaces, func(w *workspace) uint64 { return w.lastUsed }))
		}
		w = &workspace{kinds: map[api.RequestKind]*hazardEstimator{}}
		p.workspaces[n] = w
	}
	w.lastUsed = p.uses
	return w
}

func (w *workspace) kind(k api.RequestKind, now uint64) *hazardEstimator {
	c, ok := w.kinds[k]
	if !ok {
		if len(w.kinds) >= maxKinds {
			delete(w.kinds, leastRecentlyUsed(w.kinds, func(c *hazardEstimator) uint64 { return c.lastUsed }))
		}
		c = &hazardEstimator{}
		w.kinds[k] = c
	}
	c.lastUsed = now
	return c
}

// leastRecentlyUsed finds the key that was used least recently; uses are unique, so the
// order of the map does not matter.
func leastRecentlyUsed[K comparable, V any](m map[K]V, used func(V) uint64) K {
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
