package failure

import (
	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// Classify returns the event and the counter of a request that ended with a fault.
func Classify(f *fault.Error) (event.ID, metric.Name) {
	switch {
	case f.Code == fault.CallerGone:
		return event.CallerLeft, metric.CallersGone
	case f.Ran != api.RanNo:
		return event.RequestFailed, metric.RequestsFailed
	default:
		return event.RequestRefused, metric.RequestsRefused
	}
}
