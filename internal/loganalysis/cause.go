package loganalysis

import (
	"github.com/wardridge/wardridge/internal/event"
)

// missCause gives the route of a request that was not answered in time, and why, from
// the line of its end. Requests in flight at the end of their entry VM leave no
// line.
func (s *aggregator) missCause(l Line) string {
	var why string
	switch l.Event {
	case event.RequestLate:
		why = "late: " + l.text("cause")
	case event.RequestRefused:
		why = "refused: " + l.text("type") + refusalDetail(l)
	case event.RequestFailed:
		why = "failed: " + l.text("type")
	case event.GenerationLost:
		why = "lost: " + s.lossCause(l)
	default:
		why = "caller left"
	}
	r := l.text("route")
	if r == "" {
		// Nothing is known of the route of a request that was not let in at all.
		r = "-"
	}
	return r + " " + why
}

// refusalDetail tells how a request was refused for want of room.
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
