package role

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Speeds provides the observed speeds of the engines of one service.
type Speeds interface {
	// BaseGap returns the time between two events of a stream while the engine only decodes.
	BaseGap(n api.ServerName) (time.Duration, bool)
	// PrefillRate returns the rate at which the engine prefills alone, in tokens per second.
	PrefillRate(n api.ServerName) (float64, bool)
	// ExceedShare forecasts the share of the gaps at the engine that exceed a target.
	ExceedShare(n api.ServerName, target time.Duration) (float64, bool)
}

// SpeedTable provides the observed speeds of the engines of all services.
type SpeedTable interface {
	BaseGap(n api.ServerName) (time.Duration, bool)
	PrefillRate(n api.ServerName) (float64, bool)
	ExceedShare(s api.ServiceName, n api.ServerName, target time.Duration) (float64, bool)
}

// ForService returns the speeds of the engines of one service in a table.
func ForService(t SpeedTable, s api.ServiceName) Speeds {
	return serviceSpeeds{SpeedTable: t, service: s}
}

// serviceSpeeds is a table limited to one service.
type serviceSpeeds struct {
	SpeedTable
	service api.ServiceName
}

// ExceedShare forecasts the share of the gaps at an engine of the service.
func (s serviceSpeeds) ExceedShare(n api.ServerName, target time.Duration) (float64, bool) {
	return s.SpeedTable.ExceedShare(s.service, n, target)
}
