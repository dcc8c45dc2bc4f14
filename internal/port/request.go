package port

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Request is one request of a caller, whatever wire it came by.
type Request struct {
	// ID is the caller's own id of this attempt.
	ID     api.RequestID
	Method string
	Host   string
	// Target is the path and the query exactly as the caller wrote them.
	Target string
	// Path is the decoded path, which routes are matched against.
	Path string
	// Key is the caller's secret; it never goes to a backend server.
	Key string
	// Header holds what goes to the backend server unchanged.
	Header http.Header
	Body   []byte
	// Arrived is when the whole request had been read.
	Arrived time.Time
	// MaxWait is how long the caller waits; zero when it does not say.
	MaxWait time.Duration
	Prompt  Prompt
}

// Prompt describes what an engine has to read and may write for a request;
// it is empty for plain services.
type Prompt struct {
	Tokens api.Tokens
	// MaxTokens is the most tokens that the answer may have.
	MaxTokens api.Tokens
	// ExpectedTokens is the caller's guess of the answer's length, zero if none.
	ExpectedTokens api.Tokens
}
