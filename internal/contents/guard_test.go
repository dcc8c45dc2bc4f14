package contents_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// refused is the error of a connection to an address at which nothing listens.
var refused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

func subjects() quarantine.Subjects { return quarantine.Subjects{Content: "c"} }

// A content is quarantined if two attempts at two servers that crash fail in a way that a crash
// explains, and not if the errors show that the request did not run.
func TestFailuresThatQuarantineAContent(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"closed without an answer", fault.Wrap(fault.OutcomeUnknown, io.EOF, "closed"), true},
		{"reset", fault.Wrap(fault.OutcomeUnknown, syscall.ECONNRESET, "reset"), true},
		{"no answer in time", fault.Wrap(fault.OutcomeUnknown, context.DeadlineExceeded, "late"), true},
		{"cut inside the answer", fault.Wrap(fault.BadAnswer, io.ErrUnexpectedEOF, "cut"), true},
		{"no connection was made", fault.Wrap(fault.NotStarted, refused, "refused"), false},
		{"the server reported that it did not run it", fault.New(fault.ServerRefused, "full"), false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := contents.New(event.Discard(), metric.New(), quarantine.New())
				for _, s := range []api.ServerName{"a", "b"} {
					g.RecordFailure(subjects, s, c.err, 0)
					g.RecordCrash(s)
				}
				time.Sleep(2 * time.Second)
				g.Step()
				f := g.Check(subjects)
				if got := f != nil; got != c.want {
					t.Fatalf("got quarantined %v, want %v", got, c.want)
				}
				if f != nil && (f.Code != fault.Quarantined || f.Ran != api.RanNo || f.RetryAfter <= 0) {
					t.Errorf("got %+v, want it refused as not run, with a time to retry after", f)
				}
			})
		})
	}
}

// Servers that may have crashed are probed, and only a refused connection confirms that they did.
func TestProbeServers(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{{"nothing listens", refused, true}, {"no answer", context.DeadlineExceeded, false}, {"it listens", nil, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, end := duty.New(context.Background())
				defer end()
				g := contents.New(event.Discard(), metric.New(), quarantine.New())
				for _, s := range []api.ServerName{"a", "b"} {
					g.RecordFailure(subjects, s, fault.Wrap(fault.OutcomeUnknown, io.EOF, "closed"), 0)
				}
				for range 10 {
					g.ProbeServers(d, func(context.Context, api.ServerName) error { return c.err })
					time.Sleep(300 * time.Millisecond)
					g.Step()
				}
				if got := g.Check(subjects) != nil; got != c.want {
					t.Errorf("got quarantined %v, want %v", got, c.want)
				}
			})
		})
	}
}
