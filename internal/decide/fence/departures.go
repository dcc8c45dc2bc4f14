package fence

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// overdueAfter is the time after which a run that has left a server must not be in its reports. Reports
	// describe the server as it was some hundred ms before.
	overdueAfter = time.Second
	// departureTTL is how long a departure is retained.
	departureTTL = 30 * time.Second
)

// Departures holds the runs that continue at another server, by the server that they have left. It is not
// safe for concurrent use.
type Departures struct {
	byServer map[api.ServerName]map[api.RequestID]time.Time
}

// NewDepartures creates an empty record.
func NewDepartures() *Departures {
	return &Departures{byServer: map[api.ServerName]map[api.RequestID]time.Time{}}
}

// Record records that a run has left a server.
func (d *Departures) Record(now time.Time, s api.ServerName, r api.RequestID) {
	if d.byServer[s] == nil {
		d.byServer[s] = map[api.RequestID]time.Time{}
	}
	d.byServer[s][r] = now
}

// Return records that a run continues at a server that it had left.
func (d *Departures) Return(s api.ServerName, r api.RequestID) {
	delete(d.byServer[s], r)
	if len(d.byServer[s]) == 0 {
		delete(d.byServer, s)
	}
}

// Listed returns the runs in a server's report that should be over there, in order, each of them once.
func (d *Departures) Listed(now time.Time, s api.ServerName, report map[api.RequestID]int) []api.RequestID {
	var l []api.RequestID
	for r, t := range d.byServer[s] {
		if _, ok := report[r]; ok && now.Sub(t) > overdueAfter {
			l = append(l, r)
		}
	}
	for _, r := range l {
		d.Return(s, r)
	}
	slices.Sort(l)
	return l
}

// Expire drops old departures.
func (d *Departures) Expire(now time.Time) {
	for s, l := range d.byServer {
		maps.DeleteFunc(l, func(_ api.RequestID, t time.Time) bool { return now.Sub(t) > departureTTL })
		if len(l) == 0 {
			delete(d.byServer, s)
		}
	}
}
