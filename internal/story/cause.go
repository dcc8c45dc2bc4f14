package story

import (
	"github.com/wardridge/wardridge/internal/event"
)

// cause gives the route of a request that was not answered in time, and why, from
// the line of its end. Requests in flight at the end of their entry VM leave no
// line.
func (s *sums) cause(l Line) string {
	var why string
	switch l.Event {
	case event.RequestLate:
		why = "late: " + l.text("cause")
	case event.RequestRefused:
		why = "refused: " + l.text("type") + refusal(l)
	case event.RequestFailed:
		why = "failed: " + l.text("type")
	case event.GenerationLost:
		why = "lost: " + s.fate(l)
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

// refusal tells how a request was refused for want of room.
func refusal(l Line) string {
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
