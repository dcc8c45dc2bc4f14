package mesh

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

const (
	// pushWindow is the time whose changes one push contains. It overlaps with the pushes
	// before, so that a peer that has missed one need not fetch.
	pushWindow = time.Second
	// maxPushBytes bounds one push. Peers fetch more than that when they have time for it.
	maxPushBytes = 64 << 10
	// maxDeltaBytes bounds what a peer accepts as a push, after it is decompressed.
	maxDeltaBytes = 4 << 20
)

// pusher serves one kind to peers: it pushes changes and answers fetches.
type pusher interface {
	routes(r chi.Router)
	// next returns the push of the changes since the last call, if there are any. It reports
	// false if there are changes that are too large to be pushed.
	next(now time.Time) (push, bool)
}

// push is the encoded changes of one kind, the same for all peers.
type push struct {
	path string
	body []byte
}

// kindPusher implements pusher.
type kindPusher[T any] struct {
	path  string
	kind  *mirror.Mirror[T]
	cache *deltaCache[T]
	// pushed is the version up to which changes were pushed; marks holds the versions of the
	// last pushWindow with their times.
	pushed api.Version
	marks  []mark
}

// mark is a version that was known at a time.
type mark struct {
	version api.Version
	at      time.Time
}

func newPusher[T any](path string, k *mirror.Mirror[T]) pusher {
	return &kindPusher[T]{path: path, kind: k, cache: newDeltaCache(k)}
}

func (p *kindPusher[T]) routes(r chi.Router) {
	r.Get(p.path, handleDelta(p.cache))
	r.Post(p.path, p.receive)
}

func (p *kindPusher[T]) next(now time.Time) (push, bool) {
	v := p.kind.ChangedAt()
	if v == p.pushed {
		return push{}, true
	}
	first := p.pushed == 0
	p.pushed = v
	for len(p.marks) > 1 && now.Sub(p.marks[1].at) > pushWindow {
		p.marks = p.marks[1:]
	}
	from := api.Version(0)
	if len(p.marks) > 0 {
		from = p.marks[0].version
	}
	p.marks = append(p.marks, mark{version: v, at: now})
	if first || from.Era() != v.Era() {
		return push{}, false
	}
	b, err := p.cache.since(from)
	if err != nil || len(b) > maxPushBytes {
		return push{}, false
	}
	return push{path: p.path, body: b}, true
}

// receive merges a push of a peer. A push whose changes begin after the version that is known here
// is ignored: the next exchange shows that changes are missing.
func (p *kindPusher[T]) receive(w http.ResponseWriter, q *http.Request) {
	var d replica.Delta[T]
	if err := wire.ReadGzip(w, q, maxDeltaBytes, &d); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	p.kind.Merge(d)
	w.WriteHeader(http.StatusNoContent)
}

// pushes returns the changes of all kinds since the last call. It reports false if some of them
// are too large to be pushed.
func (m *Mesh) pushes(now time.Time) ([]push, bool) {
	m.relaying.Lock()
	defer m.relaying.Unlock()
	var l []push
	complete := true
	for _, p := range m.pushers {
		x, ok := p.next(now)
		complete = complete && ok
		if x.body != nil {
			l = append(l, x)
		}
	}
	return l, complete
}

// claimPushes returns the addresses without a push in progress and marks them as in progress. To
// the others l is pushed afterwards. The caller holds the mutex.
func (m *Mesh) claimPushes(addresses []string, l []push) []string {
	var free []string
	for _, a := range addresses {
		next, ok := m.pushing[a]
		if !ok {
			free = append(free, a)
		} else {
			next = mergePushes(next, l)
		}
		m.pushing[a] = next
	}
	return free
}

// startPushes pushes to the given addresses, or has it pushed after what is being pushed to them.
func (m *Mesh) startPushes(addresses []string, l []push) {
	m.mutex.Lock()
	free := m.claimPushes(addresses, l)
	m.mutex.Unlock()
	for _, a := range free {
		m.Group.Go(func(ctx context.Context) error {
			m.push(ctx, a, l)
			return nil
		})
	}
}

// mergePushes adds later pushes to those of a peer. Of each kind only the latest one is kept, since
// it contains the changes of the others.
func mergePushes(l, later []push) []push {
	l = slices.DeleteFunc(slices.Clone(l), func(x push) bool {
		return slices.ContainsFunc(later, func(y push) bool { return x.path == y.path })
	})
	return append(l, later...)
}

// nextPush returns what is to be pushed to a peer now, or marks the push as ended.
func (m *Mesh) nextPush(address string) []push {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	l := m.pushing[address]
	if len(l) == 0 {
		delete(m.pushing, address)
		return nil
	}
	m.pushing[address] = nil
	return l
}

// push sends changes to a peer, and those that follow in the meantime.
func (m *Mesh) push(ctx context.Context, address string, l []push) {
	for ; len(l) > 0; l = m.nextPush(address) {
		for _, x := range l {
			if err := m.sendPush(ctx, address, x); err != nil {
				// The peer fetches what it misses after the next exchange.
				m.Log.Emit(event.PeerSilent, zap.String("address", address), zap.Error(err))
				m.mutex.Lock()
				delete(m.pushing, address)
				m.mutex.Unlock()
				return
			}
		}
	}
}

func (m *Mesh) sendPush(ctx context.Context, address string, x push) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return wire.PostGzip(c, m.Client, "http://"+address+x.path, bytes.NewReader(x.body))
}
