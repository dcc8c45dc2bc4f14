package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/retry"
)

const (
	span  = 10 * time.Second
	slack = 52.0
)

func at(ms int) time.Time {
	return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond)
}

// newProcess returns the windows of a process that starts in a fleet of the given size.
func newProcess(now time.Time, n api.Incarnation, first bool, members int) *retry.Windows {
	w := retry.NewWindows(span, 0.2, slack)
	w.Start(now, n, first)
	w.SetMembers(members)
	return w
}

func takeAll(w *retry.Windows, now time.Time) int {
	n := 0
	for w.Allow(now, "s") {
		n++
	}
	return n
}

// report returns the report of a process, which is expected to have one.
func report(t *testing.T, w *retry.Windows, now time.Time) retry.Report {
	t.Helper()
	r, ok := w.Report(now)
	if !ok {
		t.Fatal("report: got none, want one")
	}
	return r
}

// A process must not use its share of the slack again that the process before it has used.
func TestSuccessorInheritsRepeatedSends(t *testing.T) {
	w := newProcess(at(0), 1, true, 4)
	if got, want := takeAll(w, at(100)), 13; got != want {
		t.Fatalf("first process without peers: got %d sends, want %d", got, want)
	}
	w = newProcess(at(2000), 2, false, 4)
	if got, want := takeAll(w, at(2100)), 0; got != want {
		t.Errorf("successor before a peer answers: got %d sends, want %d", got, want)
	}
	if got, want := takeAll(w, at(12_600)), 13; got != want {
		t.Errorf("successor after a span without an answer: got %d sends, want %d", got, want)
	}

	w = newProcess(at(0), 1, true, 4)
	for range 4 {
		w.Allow(at(1000), "s")
	}
	r := report(t, w, at(1500))
	w = newProcess(at(3000), 2, false, 4)
	if !w.Returned(at(3100), "b", r) || w.Returned(at(3200), "c", r) {
		t.Error("returned report: got it taken otherwise than once, want once")
	}
	// Two sends may have been made after the report.
	if got, want := takeAll(w, at(3300)), 13-4-2; got != want {
		t.Errorf("successor that knows the report: got %d sends, want %d", got, want)
	}
	if got, want := takeAll(w, at(13_600)), 4+2; got != want {
		t.Errorf("once the sends of the first process are out of the span: got %d sends, want %d", got, want)
	}
}

// A report that is too old to tell of the last span must not count as that of the predecessor.
func TestOutdatedReportIsNotInherited(t *testing.T) {
	r := report(t, newProcess(at(0), 1, true, 4), at(0))
	w := newProcess(at(11_000), 2, false, 4)
	if w.Returned(at(11_100), "b", r) {
		t.Error("report of 11 s ago: got it taken, want it ignored")
	}
	if _, ok := w.Report(at(11_200)); ok {
		t.Error("report without that of the predecessor: got one, want none, since it would replace that one")
	}
	if got, want := takeAll(w, at(11_200)), 0; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}

// Sends that no peer knows of must stay few, since a successor counts on that.
func TestUnreportedSendsAreBounded(t *testing.T) {
	w := newProcess(at(0), 1, true, 4)
	w.Returned(at(0), "b", report(t, w, at(0)))
	for ms, total := 1000, 0; total < 13; ms += 250 {
		got := takeAll(w, at(ms))
		if want := min(2, 13-total); got != want {
			t.Fatalf("after %d sends that a peer knows of: got %d more, want %d", total, got, want)
		}
		total += got
		w.Returned(at(ms+100), "b", report(t, w, at(ms+50)))
	}
}

// A report that arrives late must not replace a newer one of the same process.
func TestNewestReportOfPeerCounts(t *testing.T) {
	p := retry.NewReports()
	p.Record("a", retry.Report{Incarnation: 1, Taken: 5, At: at(0)})
	p.Record("a", retry.Report{Incarnation: 1, Taken: 3, At: at(10)})
	if got, _ := p.Find("a"); got.Taken != 5 {
		t.Errorf("late report: got %d sends, want 5", got.Taken)
	}
	p.Record("a", retry.Report{Incarnation: 2, Taken: 1, At: at(20)})
	if got, _ := p.Find("a"); got.Incarnation != 2 {
		t.Errorf("report of the next process: got that of process %d, want 2", got.Incarnation)
	}
	p.Expire(at(20_000), span)
	if _, ok := p.Find("a"); ok {
		t.Error("report older than a span: got it kept, want it dropped")
	}
}

// Entry VMs that end and start at random, each sending all that it may, must hold the bound.
func TestRestartsHoldFleetBound(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 0))
		const members = 6
		var (
			l       [members]*retry.Windows
			known   [members]*retry.Reports
			down    [members]int
			fresh   []time.Time
			repeats []time.Time
		)
		for i := range l {
			l[i], known[i] = newProcess(at(0), 0, true, members), retry.NewReports()
		}
		for ms := 0; ms < 60_000; ms += 50 {
			now := at(ms)
			for i := range l {
				switch {
				case down[i] == ms && ms > 0:
					l[i], known[i] = newProcess(now, api.Incarnation(ms), false, members), retry.NewReports()
				case down[i] > ms:
					continue
				case r.IntN(80) == 0:
					down[i] = ms + 50*(1+r.IntN(60))
					continue
				}
				for k := range l {
					if k != i && down[k] <= ms && ms%250 == 50*(i%5) && r.IntN(10) > 0 {
						exchange(now, l[i], known[k], i, k)
					}
				}
				if r.IntN(4) == 0 {
					l[i].CountFresh(now, "s")
					fresh = append(fresh, now)
				}
				for range takeAll(l[i], now) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, t0 := range repeats {
			requests := max(countFrom(fresh, t0), countFrom(fresh, t0.Add(-span/2)), countFrom(fresh, t0.Add(-span)))
			if got, want := float64(countFrom(repeats, t0)), 0.2*float64(requests)+slack; got > want {
				t.Fatalf("seed %d, from %v: got %v sends in a span, want at most %v", seed, t0.Sub(at(0)), got, want)
			}
		}
	}
}

// exchange has process i report to peer k, which returns what it holds.
func exchange(now time.Time, w *retry.Windows, peer *retry.Reports, i, k int) {
	vm, to := api.VMName(rune('a'+i)), api.VMName(rune('a'+k))
	if r, ok := w.Report(now); ok {
		peer.Record(vm, r)
	}
	if r, ok := peer.Find(vm); ok {
		w.Returned(now, to, r)
	}
}

func countFrom(l []time.Time, from time.Time) int {
	n := 0
	for _, t := range l {
		if !t.Before(from) && t.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// Sends that the next peer to answer a successor does not know of must stay few as well.
func TestSendsUnknownToOnePeerAreBounded(t *testing.T) {
	w := newProcess(at(0), 1, true, 4)
	r := report(t, w, at(0))
	w.Returned(at(0), "b", r)
	w.Returned(at(0), "c", r)
	takeAll(w, at(1000))
	w.Returned(at(1100), "b", report(t, w, at(1100)))
	if got, want := takeAll(w, at(1200)), 0; got != want {
		t.Errorf("before the second peer knows of two sends: got %d more, want %d", got, want)
	}
	w.Returned(at(4000), "b", report(t, w, at(4000)))
	if got, want := takeAll(w, at(4100)), 2; got != want {
		t.Errorf("after the second peer has stopped answering: got %d more, want %d", got, want)
	}
}
