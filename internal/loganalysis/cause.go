package loganalysis

import (
	"github.com/wardridge/wardridge/internal/event"
)

// missCause returns, from the line that ends a request, its route and why it was not
// answered in time. Requests in flight when their entry VM ends leave no such line.
func (a *aggregator) missCause(l Line) string {
	var why string
	switch l.Event {
	case event.RequestLate:
		why = "late: " + l.text("cause")
	case event.RequestRefused:
		why = "refused: " + l.text("type") + refusalDetail(l)
	case event.RequestFailed:
		why = "failed: " + l.text("type")
	case event.GenerationLost:
		why = "lost: " + a.lossCause(l)
	default:
		why = "caller left"
	}
	r := l.text("route")
	if r == "" {
		// A request that was refused before its route was known has none.
		r = "-"
	}
	return r + " " + why
}

// refusalDetail describes how a request was refused for lack of capacity.
func refusalDetail(l Line) string {
	switch {
	case l.Fields["behind"] == true:
		return ", late already while others were refused"
	case l.Fields["forecast"] != nil:
		return ", by forecast"
	case l.number("waited") > 0:
		return ", after a wait"
	default:
		return ""
	}
}
