package port

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Request is a caller's request, independent of the wire protocol.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     api.RequestID
	Method string
	Host   string
	// Target is the path and the query exactly as received.
	Target string
	// Path is the decoded path, against which routes are matched.
	Path string
	// Key is the caller's secret, which is never sent to a backend server.
	Key string
	// Header holds the headers that are sent to the backend server unchanged.
	Header http.Header
	Body   []byte
	// Arrived is when the request had been read completely.
	Arrived time.Time
	// MaxWait is how long the caller waits; zero if it does not say.
	MaxWait time.Duration
	Prompt  Prompt
}

// Prompt describes the size of a request to an engine and of its answer. It is empty for
// plain services.
type Prompt struct {
	Tokens api.Tokens
	// MaxTokens is the maximum length of the answer.
	MaxTokens api.Tokens
	// ExpectedTokens is the caller's estimate of the length of the answer, zero if there is
	// none.
	ExpectedTokens api.Tokens
	// SharedParts are the parts of the prompt that other requests may share, in order and each
	// once. The last part of a prompt belongs to the request or its session and is not one of
	// them.
	SharedParts []api.PartID
}
