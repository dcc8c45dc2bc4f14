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

// edition tells apart what peers are given of a kind.
type edition struct {
	from, changed api.Version
	settled       bool
}

// packer gives what peers have missed of a kind, compressed. A change is asked
// for by all members of a domain at once, so that the newest one is kept.
type packer[T any] struct {
	kind *mirror.Mirror[T]

	mutex  sync.Mutex
	newest edition
	packed []byte
}

func newPacker[T any](k *mirror.Mirror[T]) *packer[T] {
	return &packer[T]{kind: k}
}

// since gives what has changed after a version, as compressed JSON.
func (p *packer[T]) since(from api.Version) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := edition{from: from, changed: p.kind.Changed(), settled: p.kind.Settled()}
	if p.packed != nil && e == p.newest {
		return p.packed, nil
	}
	b, err := pack(p.kind.Since(from))
	if err != nil {
		return nil, err
	}
	p.newest, p.packed = e, b
	return b, nil
}

// pack encodes and compresses a message, fast rather than small: names that are
// drawn at random make up most of a configuration.
func pack(v any) ([]byte, error) {
	j, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding what a peer has missed")
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compressing what a peer has missed")
	}
	// Writes to memory don't fail.
	_, _ = z.Write(j)
	_ = z.Close()
	return b.Bytes(), nil
}

const (
	headerEncoding = "Content-Encoding"
	headerAccepts  = "Accept-Encoding"
	encodingGzip   = "gzip"
)

// write answers a peer, which a peer of an earlier version reads uncompressed.
func (p *packer[T]) write(w http.ResponseWriter, r *http.Request, from api.Version) {
	if !strings.Contains(r.Header.Get(headerAccepts), encodingGzip) {
		wire.Write(w, http.StatusOK, p.kind.Since(from))
		return
	}
	b, err := p.since(from)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	w.Header().Set(wire.HeaderContentType, wire.TypeJSON)
	w.Header().Set(headerEncoding, encodingGzip)
	// A peer that is gone asks again.
	_, _ = w.Write(b)
}
