package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/wire"
)

// Paths of the control interface, which entry VMs and operators call.
const (
	PathHeartbeat = "/peer/v1/heartbeat"
	PathConfig    = "/peer/v1/config"
	PathExplain   = "/peer/v1/explain/"
	PathAttempt   = "/peer/v1/attempt"
	PathStatus    = "/v1/status"
	PathEngines   = "/v1/engines"
	PathPin       = "/v1/engines/pin"
	PathUnpin     = "/v1/engines/unpin"
	PathHealth    = "/healthz"
	PathMetrics   = "/debug/vars"
)

// Client calls other entry VMs at their control addresses.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New creates a client whose calls end after the timeout. The returned function closes its
// connections.
func New(timeout time.Duration) (*Client, func()) {
	c, closer := wire.NewClient(timeout, true)
	return NewWithClient(c, timeout), closer
}

// NewWithClient creates a client on top of an HTTP client, with a timeout for each call.
func NewWithClient(c *http.Client, timeout time.Duration) *Client {
	return &Client{http: c, timeout: timeout}
}

// call makes one call with the client's timeout; what describes it in errors.
func (c *Client) call(ctx context.Context, what, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := wire.Call(ctx, c.http, method, "http://"+address+path, in, out); err != nil {
		return oops.In("peer").Wrapf(err, "%s", what)
	}
	return nil
}

// Heartbeat sends the heartbeat of this entry VM and returns that of the peer.
func (c *Client) Heartbeat(ctx context.Context, address string, b api.Heartbeat) (api.Heartbeat, error) {
	var out api.Heartbeat
	err := c.call(ctx, "sending a heartbeat", http.MethodPost, address, PathHeartbeat, b, &out)
	return out, err
}

// Config reads the whole configuration that a peer has in force.
func (c *Client) Config(ctx context.Context, address string) (api.ObjectList, error) {
	var l api.ObjectList
	err := c.call(ctx, "reading a peer's configuration", http.MethodGet, address, PathConfig, nil, &l)
	return l, err
}

// Explain requests the decisions made for a request. With alone, the peer does not query other
// entry VMs.
func (c *Client) Explain(ctx context.Context, address string, r api.RequestID, alone bool) (api.Explanation, error) {
	var e api.Explanation
	p := fmt.Sprintf("%s%s?alone=%v", PathExplain, url.PathEscape(string(r)), alone)
	err := c.call(ctx, "requesting an explanation", http.MethodGet, address, p, nil, &e)
	return e, err
}

// Release asks the owner of a claim to give up its attempt, and reports whether the attempt was
// not sent and never will be.
func (c *Client) Release(ctx context.Context, address string, q api.AttemptQuery) (bool, error) {
	var a api.AttemptAnswer
	err := c.call(ctx, "requesting the release of an attempt", http.MethodPost, address, PathAttempt, q, &a)
	return a.Released, err
}

// Status reads an entry VM's view of the system.
func (c *Client) Status(ctx context.Context, address string) (api.NodeStatus, error) {
	var s api.NodeStatus
	err := c.call(ctx, "reading the status", http.MethodGet, address, PathStatus, nil, &s)
	return s, err
}

// Metrics reads an entry VM's metrics that are whole numbers. It leaves out histograms, which are
// meant for people.
func (c *Client) Metrics(ctx context.Context, address string) (map[string]int64, error) {
	var raw map[string]json.RawMessage
	if err := c.call(ctx, "reading metrics", http.MethodGet, address, PathMetrics, nil, &raw); err != nil {
		return nil, err
	}
	m := make(map[string]int64, len(raw))
	for n, r := range raw {
		var v int64
		if json.Unmarshal(r, &v) == nil {
			m[n] = v
		}
	}
	return m, nil
}

// Engines lists the engines of the failure domains that an entry VM knows, or only those of one
// service. With alone, the entry VM lists only its own failure domain and does not query others.
func (c *Client) Engines(ctx context.Context, address string, s api.ServiceName, alone bool) (api.EngineList, error) {
	var l api.EngineList
	p := fmt.Sprintf("%s?service=%s&alone=%v", PathEngines, url.QueryEscape(string(s)), alone)
	err := c.call(ctx, "listing engines", http.MethodGet, address, p, nil, &l)
	return l, err
}

// Pin pins the role of an engine. With alone, the entry VM does not pass the request on to the
// allocator of the engine.
func (c *Client) Pin(ctx context.Context, address string, x api.EnginePin, alone bool) (api.EnginePinAnswer, error) {
	return c.pin(ctx, "pinning the role of an engine", address, PathPin, x, alone)
}

// Unpin clears the pin of an engine; alone is as for Pin.
func (c *Client) Unpin(ctx context.Context, address string, x api.EnginePin, alone bool) (api.EnginePinAnswer, error) {
	return c.pin(ctx, "clearing the pin of an engine", address, PathUnpin, x, alone)
}

func (c *Client) pin(ctx context.Context, what, address, path string, x api.EnginePin, alone bool) (api.EnginePinAnswer, error) {
	var a api.EnginePinAnswer
	err := c.call(ctx, what, http.MethodPost, address, fmt.Sprintf("%s?alone=%v", path, alone), x, &a)
	return a, err
}
