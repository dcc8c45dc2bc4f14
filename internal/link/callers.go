package link

import (
	"net"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/metric"
)

// ListenCallers returns a function that listens for callers like f. Their connections are closed unread
// while the link has no room for their requests.
func (l *Link) ListenCallers(f ListenFunc) ListenFunc {
	return wrap(f, func(x net.Listener) net.Listener { return &callerListener{x, l, true} })
}

// CountCallers returns a function that listens for callers like f, and takes all of their connections.
func (l *Link) CountCallers(f ListenFunc) ListenFunc {
	return wrap(f, func(x net.Listener) net.Listener { return &callerListener{x, l, false} })
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	link *Link
	// turnsAway is set if connections are closed unread while there is no room.
	turnsAway bool
}

func (x *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := x.Listener.Accept()
		if err != nil {
			return nil, err
		}
		y := &callerConn{c, x.link}
		if !x.turnsAway || x.link.takeCaller(y) {
			return y, nil
		}
		x.link.Metrics.Add(metric.ConnectionsTurnedAway, 1)
		// The caller sees the end in any case.
		_ = c.Close()
	}
}

// takeCaller counts a new connection, unless there is no room for its request.
func (l *Link) takeCaller(c net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if !l.admission.Accepts(now) {
		return false
	}
	l.begin(now, c)
	return true
}

// TrackCaller follows the requests on the connections of callers; it is the ConnState of their HTTP server.
func (l *Link) TrackCaller(c net.Conn, s http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch s {
	case http.StateActive:
		l.begin(time.Now(), c)
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		if t, ok := l.requests[c]; ok {
			delete(l.requests, c)
			l.admission.End(t)
		}
	}
}

// begin counts the request on a connection, if none is counted yet; the caller holds the mutex.
func (l *Link) begin(now time.Time, c net.Conn) {
	if _, ok := l.requests[c]; !ok {
		l.requests[c] = now
		l.admission.Begin(now)
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	link *Link
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.callers.Add(onLink(n))
	return n, err
}

func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.callers.Add(onLink(n))
	return n, err
}
