package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/wardridge/wardridge/internal/api"
)

// hashSize is the length of a content hash in bytes. It is long enough that no caller can find
// a second content with the hash of another workspace's request.
const hashSize = 16

// Hash identifies the content of a request by what the workspace sends; the caller's id of the
// attempt is not part of it.
func Hash(w api.WorkspaceName, method, host, target string, body []byte) api.ContentHash {
	return api.ContentHash(digest(body, string(w), method, host, target))
}

// MessagePart identifies a message of a conversation as a part of the prompts for a model.
func MessagePart(m api.ModelName, role, text string) api.PartID {
	return api.PartID(digest([]byte(text), string(m), role))
}

// digest returns the hash of a body and the fields before it.
func digest(body []byte, fields ...string) string {
	h := sha256.New()
	for _, s := range fields {
		// Each field is preceded by its length, so that fields split differently give different
		// hashes.
		h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:hashSize])
}
