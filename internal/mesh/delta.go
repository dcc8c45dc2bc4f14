package mesh

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

// deltaKey identifies the contents of a delta.
type deltaKey struct {
	from, changed api.Version
	settled       bool
}

const (
	// maxCachedDeltas is the number of deltas that are cached: peers that are behind by
	// different versions request them in turn.
	maxCachedDeltas = 8
	// fullDeltaTTL is how long all objects may be sent as they were at an earlier version. A
	// peer fetches the changes since then afterwards; to encode thousands of objects at each
	// change for each peer that starts would take most of a hub's time.
	fullDeltaTTL = time.Second
	// minFullObjects is the number of objects from which that is done.
	minFullObjects = 500
)

// cachedDelta is a compressed delta and the time at which it was built.
type cachedDelta struct {
	key  deltaKey
	body []byte
	at   time.Time
	// large is set for a delta of all objects of a kind with many.
	large bool
}

// deltaCache builds compressed deltas of a kind for peers. After a change all members
// of a domain request the same delta at once, so the newest ones are cached.
type deltaCache[T any] struct {
	source *mirror.Mirror[T]

	mutex sync.Mutex
	// deltas holds the cached ones, the newest last.
	deltas []cachedDelta
}

func newDeltaCache[T any](k *mirror.Mirror[T]) *deltaCache[T] {
	return &deltaCache[T]{source: k}
}

// since returns the changes after a version as compressed JSON.
func (c *deltaCache[T]) since(from api.Version) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	e := deltaKey{from: from, changed: c.source.ChangedAt(), settled: c.source.Settled()}
	for _, d := range c.deltas {
		if d.key == e || from == 0 && d.large && d.key.settled == e.settled && now.Sub(d.at) < fullDeltaTTL {
			return d.body, nil
		}
	}
	s := c.source.Since(from)
	b, err := encodeGzip(s)
	if err != nil {
		return nil, err
	}
	if len(c.deltas) == maxCachedDeltas {
		c.deltas = slices.Delete(c.deltas, 0, 1)
	}
	c.deltas = append(c.deltas, cachedDelta{key: e, body: b, at: now, large: s.From == 0 && len(s.Items) >= minFullObjects})
	return b, nil
}

// encodeGzip encodes a message as compressed JSON. It compresses for speed: random
// names, which hardly compress, make up most of a configuration.
func encodeGzip(v any) ([]byte, error) {
	j, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a delta for a peer")
	}
	var b bytes.Buffer
	z, ok := writers.Get().(*gzip.Writer)
	if !ok {
		if z, err = gzip.NewWriterLevel(&b, gzip.BestSpeed); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "compressing a delta for a peer")
		}
	}
	defer writers.Put(z)
	z.Reset(&b)
	// Writes to a bytes.Buffer do not fail.
	_, _ = z.Write(j)
	_ = z.Close()
	return b.Bytes(), nil
}

// writers holds compressors for reuse: each takes about a megabyte.
var writers sync.Pool

const headerAcceptEncoding = "Accept-Encoding"

// write sends the changes after a version to a peer. The answer is not compressed for
// a peer of an earlier build, which does not accept gzip.
func (c *deltaCache[T]) write(w http.ResponseWriter, r *http.Request, from api.Version) {
	if !strings.Contains(r.Header.Get(headerAcceptEncoding), wire.EncodingGzip) {
		wire.Write(w, http.StatusOK, c.source.Since(from))
		return
	}
	b, err := c.since(from)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	w.Header().Set(wire.HeaderContentType, wire.TypeJSON)
	w.Header().Set(wire.HeaderContentEncoding, wire.EncodingGzip)
	// A peer whose connection breaks requests the delta again.
	_, _ = w.Write(b)
}
