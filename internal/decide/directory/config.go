package directory

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Kind says how often the requests of a route may run and how they are answered.
type Kind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events and run at most once.
	Stream Kind = "stream"
)

// Target is one of the services that a route distributes its requests over.
type Target struct {
	Service api.ServiceName
	Weight  int
}

// Route sends the requests for a path prefix of a host to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream,
	// should arrive.
	LatencyTarget time.Duration `json:"Aim"`
	// GapTarget is the time that a pause between events of a stream should not exceed.
	GapTarget time.Duration `json:"GapAim"`
	// Priority orders the requests of workspaces with the same priority; 0 comes first.
	Priority int
	Targets  []Target
	// MaxServers is the maximum number of servers that one request may be sent to.
	MaxServers int
	// Anonymous admits requests without a key.
	Anonymous bool
	// Regions are the regions whose servers may get the requests; empty for all.
	Regions []api.RegionName `json:",omitempty"`
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots  int
	Memory api.Tokens
	// TokenBytes is the size of one token in the KV cache in bytes, which each copy of a
	// run has to transfer.
	TokenBytes int64
	LinkMbps   float64
	// SupportsMoves is set if a run can be copied to another engine on request.
	SupportsMoves bool `json:"Moves"`
	// SupportsBackups is set if a run can be copied continuously as it grows.
	SupportsBackups bool `json:"Backups"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"Stride"`
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name           api.ServiceName
	MaxConnections int
	// WarmUp is how long a server is cold after a start.
	WarmUp time.Duration
	// ColdRate is the number of requests per second that a cold server can serve; zero
	// means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a customer and its API keys.
type Workspace struct {
	Name     api.WorkspaceName
	Keys     []string
	Priority int
	// Regions are the regions whose servers may get the workspace's requests; empty for all.
	Regions []api.RegionName `json:",omitempty"`
}

// Limits bounds the size of requests and the times that callers may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one complete configuration. Entry VMs pass it on to each other as JSON, so the
// JSON names of all its fields are part of the protocol between them.
type Config struct {
	// Version is the number that operators give the configuration; it rises with every
	// change.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
