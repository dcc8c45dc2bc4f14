package bodies

import (
	"context"
	"io"

	"github.com/wardridge/wardridge/internal/port"
)

// NewReader returns a reader that reserves memory for what it reads; a nil hold reserves none. It reads on only once
// there is memory, so that a server whose answers are not read in time is held back.
func NewReader(ctx context.Context, r io.Reader, h port.Hold) io.Reader {
	return heldReader{ctx, r, h}
}

type heldReader struct {
	ctx    context.Context
	reader io.Reader
	hold   port.Hold
}

// Read implements io.Reader.
func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n == 0 || r.hold == nil {
		return n, err
	}
	if f := r.hold.Grow(r.ctx, int64(n)); f != nil {
		return 0, f
	}
	return n, err
}
