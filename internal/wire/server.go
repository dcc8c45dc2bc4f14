package wire

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Names of HTTP headers.
const (
	HeaderRequestID       = "X-Request-Id"
	HeaderPriority        = "X-Wardridge-Priority"
	HeaderDeadline        = "X-Wardridge-Deadline-Ms"
	HeaderKind            = "X-Wardridge-Kind"
	HeaderNotRepeatable   = "X-Wardridge-Not-Repeatable"
	HeaderRan             = "X-Wardridge-Ran"
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderLastEventID     = "Last-Event-ID"
	HeaderRetryAfter      = "Retry-After"
	HeaderContentType     = "Content-Type"
	HeaderContentEncoding = "Content-Encoding"
	// HeaderLimit holds the number of requests per second that an overloaded server of a plain
	// service accepts from all entry VMs together.
	HeaderLimit = "X-Wardridge-Limit"
	// HeaderLeaving is set in the answers of a server of a plain service that is about to end.
	HeaderLeaving = "X-Wardridge-Leaving"
)

// EncodingGzip is the content encoding of compressed messages.
const EncodingGzip = "gzip"

// Content types.
const (
	TypeJSON        = "application/json"
	TypeEventStream = "text/event-stream"
)

// Write answers with a JSON message.
func Write(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		b = nil
	}
	w.Header().Set(HeaderContentType, TypeJSON)
	w.WriteHeader(status)
	// The write fails only if the caller has left, which needs no handling.
	_, _ = w.Write(append(b, '\n'))
}

// Refuse answers with a fault.
func Refuse(w http.ResponseWriter, f *fault.Error, r api.RequestID) {
	if f.RetryAfter > 0 {
		s := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set(HeaderRetryAfter, strconv.Itoa(s))
	}
	w.Header().Set(HeaderRan, string(f.Ran))
	Write(w, f.Code.Kind().Status, f.Body(r))
}

// ReadBody reads the body of a request, which may have at most limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var m *http.MaxBytesError
	switch {
	case errors.As(err, &m):
		return nil, fault.Wrap(fault.BodyTooLarge, err, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.Wrap(fault.SlowSender, err, "the body did not arrive in time")
	case err != nil:
		return nil, fault.Wrap(fault.CallerGone, err, "the body ended early").WithRan(api.RanNo)
	}
	return b, nil
}

// Parse decodes data that must be a single JSON value.
func Parse(b []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(out); err != nil {
		return fault.Wrap(fault.MalformedJSON, err, "the body is not the expected JSON: "+err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.MalformedJSON, "the body has data after its JSON value")
	}
	return nil
}

// Read decodes the JSON body of a request, which may have at most limit bytes.
func Read(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	b, err := ReadBody(w, r, limit)
	if err != nil {
		return err
	}
	return Parse(b, out)
}

// ReadGzip decodes the compressed JSON body of a request, which may have at most limit bytes after
// it is decompressed.
func ReadGzip(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	z, err := gzip.NewReader(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return fault.Wrap(fault.MalformedJSON, err, "the body is not compressed with gzip")
	}
	b, err := io.ReadAll(io.LimitReader(z, limit+1))
	switch {
	case err != nil:
		return fault.Wrap(fault.MalformedJSON, err, "the compressed body is malformed")
	case int64(len(b)) > limit:
		return fault.New(fault.BodyTooLarge, "the decompressed body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return Parse(b, out)
}

// NewServer creates an HTTP server that limits the size of headers and the time to read
// them.
func NewServer(h http.Handler, headerWait time.Duration) *http.Server {
	const headerLimit = 32 << 10
	const idle = 2 * time.Minute
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerWait,
		IdleTimeout:       idle,
		MaxHeaderBytes:    headerLimit,
	}
}
