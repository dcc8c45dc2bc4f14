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
	// askTime bounds one request to an entry VM.
	askTime = 5 * time.Second
	// askEvery is the pause between requests.
	askEvery = 50 * time.Millisecond
)

// question is a request for the shortest of answers.
type question struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// wait returns once every entry VM has served a request.
func wait(ctx context.Context, entries []small) error {
	c, closer := wire.NewClient(askTime, false)
	defer closer()
	for _, e := range entries {
		for !serves(ctx, c, e) {
			if !duty.Sleep(ctx, askEvery) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// serves reports whether an entry VM serves a request; until its engines have
// loaded the model it refuses.
func serves(ctx context.Context, c *http.Client, e small) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	q := question{Model: "desk", MaxTokens: 1, Messages: []message{{Role: "user", Content: "Ready?"}}}
	r, err := wire.NewRequest(ctx, http.MethodPost, "http://"+e.listen+entry.PathChat, q)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyDispatch)
	return wire.Do(c, r, nil) == nil
}
