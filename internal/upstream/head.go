package upstream

import (
	"io"

	"github.com/wardridge/wardridge/internal/fault"
)

// errHeadTooLarge is the failure of an answer whose head exceeds maxHeadBytes.
var errHeadTooLarge = fault.New(fault.BadAnswer, "the head of the answer exceeds the size limit")

// headLimiter limits what is read from a connection while the head of an answer is read.
type headLimiter struct {
	reader io.Reader
	// limited is set while a head is read, and left is what may still be read of it.
	limited bool
	left    int
}

func (h *headLimiter) begin(limit int) { h.limited, h.left = true, limit }

func (h *headLimiter) end() { h.limited = false }

// Read reads from the connection, and fails once a head exceeds its limit.
func (h *headLimiter) Read(p []byte) (int, error) {
	if !h.limited {
		return h.reader.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.reader.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
