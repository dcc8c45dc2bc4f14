package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
)

// copyRetention is how long servers may keep the copies of a run that did not end well.
const copyRetention = 10 * time.Second

// owner identifies a request, or the orders to stop a run of it, in the records of places. These outlast the request,
// and keep no more of it than this.
type owner struct {
	request api.RequestID
}

// holdPlace records that a request may run at an engine until the request ends. Engines know runs by the ID of the
// request.
func (g *Gateway) holdPlace(q *request, n api.ServerName) {
	if q.service.Engine == nil || q.ID == "" || slices.Contains(q.places, n) {
		return
	}
	q.places = append(q.places, n)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.places.Hold(q.ID, n, q.owner)
	// A run with the ID that has left the engine is no longer told from this one in its reports.
	g.departures.Return(n, q.ID)
}

// holdBackup holds the place of a backup copy, whose name is the ID of the request. It drops one whose server may
// have something of another request with the same ID.
func (g *Gateway) holdBackup(q *request, b *backup) *backup {
	if b == nil || q.ID == "" {
		return b
	}
	n := b.server.Name
	if slices.Contains(g.excluded(q, nil), n) || !g.holdCopy(q, n) {
		b.release()
		return nil
	}
	g.holdPlace(q, n)
	return b
}

// holdCopy records that an engine may have a copy that is named by the ID of a request. It reports false if another
// request with the same ID may have one there.
func (g *Gateway) holdCopy(q *request, n api.ServerName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if slices.Contains(g.copies.Others(q.ID, q.owner), n) {
		return false
	}
	g.copies.Hold(q.ID, n, q.owner)
	q.copies = append(q.copies, n)
	return true
}

// releasePlaces ends what a request holds; the copies of a run that did not end well are held for longer.
func (g *Gateway) releasePlaces(q *request) {
	g.mutex.Lock()
	for _, n := range q.places {
		g.places.Release(q.ID, n, q.owner)
	}
	g.mutex.Unlock()
	if len(q.copies) == 0 {
		return
	}
	if q.outcome == "done" || q.outcome == "late" {
		g.releaseCopies(q)
		return
	}
	g.Group.Go(func(ctx context.Context) error {
		duty.Sleep(ctx, copyRetention)
		g.releaseCopies(q)
		return nil
	})
}

func (g *Gateway) releaseCopies(q *request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, n := range q.copies {
		g.copies.Release(q.ID, n, q.owner)
	}
}

// excluded returns the engines that a request may not use: those tried, those that another request with the same ID
// holds, where an order for one of the two would reach the other, and those that are ordered to stop a run of it.
func (g *Gateway) excluded(q *request, tried []api.ServerName) []api.ServerName {
	if q.service.Engine == nil || q.ID == "" {
		return tried
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	o := g.places.Others(q.ID, q.owner)
	if len(o) == 0 {
		return tried
	}
	return append(slices.Clone(tried), o...)
}
