package mesh

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

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

// deltaCache builds compressed deltas of a kind for peers. After a change all members
// of a domain request the same delta at once, so the newest one is cached.
type deltaCache[T any] struct {
	source *mirror.Mirror[T]

	mutex sync.Mutex
	key   deltaKey
	body  []byte
}

func newDeltaCache[T any](k *mirror.Mirror[T]) *deltaCache[T] {
	return &deltaCache[T]{source: k}
}

// since returns the changes after a version as compressed JSON.
func (c *deltaCache[T]) since(from api.Version) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	e := deltaKey{from: from, changed: c.source.ChangedAt(), settled: c.source.Settled()}
	if c.body != nil && e == c.key {
		return c.body, nil
	}
	b, err := encodeGzip(c.source.Since(from))
	if err != nil {
		return nil, err
	}
	c.key, c.body = e, b
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
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compressing a delta for a peer")
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = z.Write(j)
	_ = z.Close()
	return b.Bytes(), nil
}

const (
	headerContentEncoding = "Content-Encoding"
	headerAcceptEncoding  = "Accept-Encoding"
	encodingGzip          = "gzip"
)

// write sends the changes after a version to a peer. The answer is not compressed for
// a peer of an earlier build, which does not accept gzip.
func (c *deltaCache[T]) write(w http.ResponseWriter, r *http.Request, from api.Version) {
	if !strings.Contains(r.Header.Get(headerAcceptEncoding), encodingGzip) {
		wire.Write(w, http.StatusOK, c.source.Since(from))
		return
	}
	b, err := c.since(from)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	w.Header().Set(wire.HeaderContentType, wire.TypeJSON)
	w.Header().Set(headerContentEncoding, encodingGzip)
	// A peer whose connection breaks requests the delta again.
	_, _ = w.Write(b)
}
