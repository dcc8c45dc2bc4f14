package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// server is a backend server of the testbed through its successive incarnations and
// replacements.
type server struct {
	service api.ServiceName
	index   int
	// eventInterval is that of an engine in all its incarnations.
	eventInterval time.Duration
	// unframed is set if its answers end with their connections.
	unframed bool

	mutex        sync.Mutex
	instance     *hosted.Server
	proxy        *proxy
	stop         func()
	incarnations int
	// id stays the same for a server that restarts under the same name.
	id api.ServerID
}

// naming selects the ID under which a server starts.
type naming int

// Namings.
const (
	// newName is an ID that no server had before, sameName that of the incarnation before.
	newName naming = iota
	sameName
)

// startServer starts the next incarnation of a server on a new address, unless the one
// that ended has been replaced already.
func (b *testbed) startServer(s *server, ended *hosted.Server, n naming) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.instance != ended {
		return nil
	}
	if s.stop != nil {
		s.stop()
	}
	in, err := loopback.Listen()
	if err != nil {
		return err
	}
	out, err := loopback.Listen()
	if err != nil {
		return err
	}
	s.incarnations++
	p, closer := newProxy(out, in.Addr().String())
	if n == newName {
		s.id = api.ServerID(fmt.Sprintf("s-%d-%d", s.index+1, s.incarnations))
	}
	born := api.Birth(time.Now().UnixMilli())
	x := roster.Server{
		Name: roster.IncarnationName(s.id, born), ID: s.id, Born: born, Service: s.service, Address: p.address(),
		Domain: domainAt(s.index), Slots: slots,
	}
	instance, end := b.fleet.StartServer(x, s.service == engines, in)
	if s.service == engines {
		instance.SetEventInterval(s.eventInterval)
	}
	instance.SetUnframed(s.unframed)
	s.instance, s.proxy = instance, p
	s.stop = func() {
		closer()
		end()
	}
	b.recorder.update(func(r *Record) {
		r.ServerServices[x.Name] = s.service
		r.ServerDomains[x.Name] = x.Domain
	})
	return instance.Register()
}

// shutDown ends the current incarnation of a server.
func (s *server) shutDown() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stop()
}

func (s *server) current() (*hosted.Server, *proxy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.instance, s.proxy
}
