package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/wardridge/wardridge/internal/api"
)

// hashSize is the length of a hash: no caller can find a second content with the hash
// of another workspace's request.
const hashSize = 16

// Hash names the content of a request: what a workspace sends, whatever the caller's id
// of the attempt.
func Hash(w api.WorkspaceName, method, host, target string, body []byte) api.ContentHash {
	h := sha256.New()
	for _, s := range []string{string(w), method, host, target} {
		// The length before each part keeps two different requests apart.
		h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	h.Write(body)
	return api.ContentHash(hex.EncodeToString(h.Sum(nil)[:hashSize]))
}
