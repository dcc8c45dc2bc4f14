package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConnections follows the connections of callers.
type callerConnections struct {
	mutex       sync.Mutex
	open        int
	active      map[net.Conn]bool
	lastRequest time.Time
}

// track records a change of state of a connection; it is a ConnState of an HTTP server.
func (c *callerConnections) track(x net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch s {
	case http.StateNew:
		c.open++
	case http.StateActive:
		c.lastRequest = time.Now()
		if c.active == nil {
			c.active = map[net.Conn]bool{}
		}
		c.active[x] = true
	case http.StateIdle:
		delete(c.active, x)
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.active, x)
	}
}

// state returns the number of open connections, the number of those on which a request arrives or is answered,
// and when the last one began to arrive.
func (c *callerConnections) state() (open, active int, lastRequest time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open, len(c.active), c.lastRequest
}
