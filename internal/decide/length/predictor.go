package length

import (
	"math"

	"github.com/wardridge/wardridge/internal/api"
)

// Window is the number of recent answers that a curve effectively covers.
const Window = 400

// priorWeight is the weight of the more general curve, as a number of answers.
const priorWeight = 6

// maxKinds is the largest number of request kinds with a curve in one workspace.
const maxKinds = 16

// maxWorkspaces is the largest number of workspaces with curves.
const maxWorkspaces = 4096

// rebuildAfter is the number of new answers after which a cached curve is rebuilt.
const rebuildAfter = 8

// Key identifies the curve of one kind of request in one workspace.
type Key struct {
	Workspace api.WorkspaceName
	Kind      api.RequestKind
}

// hazardEstimator estimates the hazard of each bucket from answers that ended and
// answers that were cut off. Older answers weigh less.
type hazardEstimator struct {
	// ended is the weight of the answers that ended in each bucket.
	ended [buckets]float32
	// atRisk is the weight of the answers that passed each bucket or ended in it.
	atRisk [buckets]float32
	cached *Curve
	// uncached is the number of answers since the cached curve was built.
	uncached int
	// lastUsed is the predictor's count of uses at the last use.
	lastUsed uint64
}

// observe records the length of an answer; ended is false for one that was cut off.
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

// hazards returns the hazard of each bucket, weighted with the more general hazards.
func (e *hazardEstimator) hazards(general *[buckets]float64) *[buckets]float64 {
	var h [buckets]float64
	for i := range h {
		h[i] = (float64(e.ended[i]) + priorWeight*general[i]) / (float64(e.atRisk[i]) + priorWeight)
	}
	return &h
}

// workspace holds the estimators of one workspace.
type workspace struct {
	overall  hazardEstimator
	kinds    map[api.RequestKind]*hazardEstimator
	lastUsed uint64
}

// Predictor learns the survival curves of all workspaces and kinds of requests.
type Predictor struct {
	overall    hazardEstimator
	workspaces map[api.WorkspaceName]*workspace
	// uses is the number of observed answers, which orders uses in time.
	uses uint64
}

// New returns a predictor without observations.
func New() *Predictor {
	return &Predictor{workspaces: map[api.WorkspaceName]*workspace{}}
}

// priorHazards are the hazards assumed without observations. They are those of a
// heavy-tailed distribution: the hazard falls with the length.
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

// Observe records the length of an answer; ended is false for one that was cut off.
func (p *Predictor) Observe(k Key, n api.Tokens, ended bool) {
	p.uses++
	w := p.workspace(k.Workspace)
	p.overall.observe(n, ended)
	w.overall.observe(n, ended)
	w.kind(k.Kind, p.uses).observe(n, ended)
}

// Curve returns the curve of a key. An unknown key gets the curve of its workspace, or
// that of all workspaces.
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

// cacheValid reports whether the cached curve may still be used.
func (e *hazardEstimator) cacheValid() bool {
	return e.cached != nil && e.uncached < rebuildAfter
}

// curve returns the cached curve, and rebuilds it first if needed.
func (e *hazardEstimator) curve(general *[buckets]float64) *Curve {
	if !e.cacheValid() {
		e.cached = newCurve(e.hazards(general))
		e.uncached = 0
	}
	return e.cached
}

// workspace returns the estimators of a workspace. A new workspace replaces the least
// recently used one if there are too many.
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

// kind returns the estimator of a kind of request. A new kind replaces the least recently
// used one if there are too many.
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

// leastRecentlyUsed returns the key whose last use is the earliest. No two keys have
// the same last use, so the order of the map does not matter.
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
