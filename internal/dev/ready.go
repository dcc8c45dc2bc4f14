package dev

import (
	"context"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/wire"
)

const (
	// requestTimeout bounds the time of one request to an entry VM.
	requestTimeout = 5 * time.Second
	// requestInterval is the pause between two requests.
	requestInterval = 50 * time.Millisecond
)

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// waitReady returns nil once every entry VM has served a request.
func waitReady(ctx context.Context, entries []process) error {
	c, closer := wire.NewClient(requestTimeout, false)
	defer closer()
	for _, e := range entries {
		for !serves(ctx, c, e) {
			if !duty.Sleep(ctx, requestInterval) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// serves reports whether an entry VM serves a request; it refuses until its engines
// have loaded the model.
func serves(ctx context.Context, c *http.Client, e process) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	q := chatRequest{Model: "desk", MaxTokens: 1, Messages: []message{{Role: "user", Content: "Ready?"}}}
	r, err := wire.NewRequest(ctx, http.MethodPost, "http://"+e.listen+entry.PathChat, q)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyDispatch)
	return wire.Do(c, r, nil) == nil
}
