package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/fault"
)

const (
	// checkTimeout bounds a direct connection that only checks the path, and refusalCheckTimeout one
	// that tells a crashed server from a path that refuses connections.
	checkTimeout        = 250 * time.Millisecond
	refusalCheckTimeout = 100 * time.Millisecond
	// refusalChecks is the number of servers to which connections are made for that.
	refusalChecks = 3
	// maxPathReports bounds the reports that are accepted from one message.
	maxPathReports = 64
)

// Check makes the direct connections to servers that are due to know whether they are reached.
func (r *Relay) Check() {
	if r.After <= 0 || !r.watching() {
		return
	}
	for _, s := range r.Servers.Services() {
		r.mutex.Lock()
		n := r.tracker.TakeChecks(time.Now(), s)
		r.mutex.Unlock()
		if n == 0 {
			continue
		}
		for _, x := range r.Servers.SampleServers(s, n, "") {
			r.Group.Go(func(ctx context.Context) error {
				r.check(ctx, x, checkTimeout)
				return nil
			})
		}
	}
}

// watching reports whether there is a sign that services are not reached.
func (r *Relay) watching() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.Watching(time.Now())
}

// check makes a direct connection to a server and closes it.
func (r *Relay) check(ctx context.Context, s connect.Server, timeout time.Duration) bool {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n, err := r.Dial(c, "tcp", s.Address)
	if ctx.Err() == nil {
		r.recordDirect(s, err)
	}
	if err != nil {
		return false
	}
	_ = n.Close()
	return true
}

// checkRefusal returns the error of a direct connection that began at a time. A refused one tells that
// the server has ended only if this entry VM reaches others: a partition may refuse connections as well.
func (r *Relay) checkRefusal(ctx context.Context, s connect.Server, began time.Time, err error) error {
	if !errors.Is(err, syscall.ECONNREFUSED) || r.reachesOthers(ctx, s, began) {
		return err
	}
	return fault.New(fault.NotStarted, err.Error())
}

// reachesOthers reports whether this entry VM reaches other servers of a service itself or, if peers do
// not reach the service either, servers of another one.
func (r *Relay) reachesOthers(ctx context.Context, s connect.Server, began time.Time) bool {
	if r.reachedSince(s.Service, began) || r.checkAny(ctx, r.Servers.SampleServers(s.Service, refusalChecks, s.Address)) {
		return true
	}
	r.mutex.Lock()
	reached := r.tracker.PeerReaches(time.Now(), s.Service)
	r.mutex.Unlock()
	if reached {
		return false
	}
	var others []connect.Server
	for _, x := range r.Servers.Services() {
		if x != s.Service && len(others) < refusalChecks {
			others = append(others, r.Servers.SampleServers(x, 1, "")...)
		}
	}
	return r.checkAny(ctx, others)
}

// reachedSince reports whether a direct connection to a server of a service was made since a time.
func (r *Relay) reachedSince(s api.ServiceName, since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.ReachedSince(s, since)
}

// checkAny reports whether a direct connection to one of the servers can be made.
func (r *Relay) checkAny(ctx context.Context, l []connect.Server) bool {
	results := make(chan bool, len(l))
	for _, s := range l {
		r.Group.Go(func(context.Context) error {
			results <- r.check(ctx, s, refusalCheckTimeout)
			return nil
		})
	}
	for range l {
		if <-results {
			return true
		}
	}
	return false
}

// listPeers lists peers that reach a service.
func (r *Relay) listPeers(s api.ServiceName) []api.PathReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.ListPeers(time.Now(), s, "")
}

// PathReports returns the reports for a message to the peer at an address, and the time since an entry VM
// last failed to reach a service. It reports false if none lately did.
func (r *Relay) PathReports(receiver string) ([]api.PathReport, time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	age, ok := r.tracker.AlertAge(now)
	if !ok {
		return nil, 0, false
	}
	return r.tracker.PathReports(now, r.Address, receiver), age, true
}

// MergePathReports records the reports of a peer, and when it knows of an entry VM that failed to reach a
// service.
func (r *Relay) MergePathReports(l []api.PathReport, age time.Duration) {
	if r.After <= 0 || age < 0 {
		return
	}
	r.mergeReports(l)
	r.mutex.Lock()
	now := time.Now()
	news := r.tracker.RecordAlert(now, now.Add(-age))
	r.mutex.Unlock()
	if news {
		r.Alerted(false)
	}
}

func (r *Relay) mergeReports(l []api.PathReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for _, x := range l[:min(len(l), maxPathReports)] {
		if x.Address != "" && x.Address != r.Address && x.AgeMS >= 0 {
			r.tracker.RecordPeer(now, x.Service, x.Address, now.Add(-x.AgeMS.Duration()))
		}
	}
}
