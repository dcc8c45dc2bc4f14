package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/sample"
)

// cpuTime returns the processor time that a process has used.
func cpuTime(t testing.TB, p *process) time.Duration {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+2:]))
	const tick = 10 * time.Millisecond
	const user, system = 11, 12
	u, _ := strconv.Atoi(f[user])
	s, _ := strconv.Atoi(f[system])
	return time.Duration(u+s) * tick
}

// residentKB returns the resident memory of a process in KB.
func residentKB(t testing.TB, p *process) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for l := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n
		}
	}
	return 0
}

// streamTimes holds the time to the first token of a stream and the gaps between its tokens.
type streamTimes struct {
	first time.Duration
	gaps  []time.Duration
}

// timeStream opens a stream and measures the times of its tokens.
func timeStream(t testing.TB, url, body string) streamTimes {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return streamTimes{}
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyDispatch)
	began := time.Now()
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return streamTimes{}
	}
	defer func() { _ = a.Body.Close() }()
	var s streamTimes
	var last time.Time
	x := bufio.NewScanner(a.Body)
	for x.Scan() {
		if !strings.HasPrefix(x.Text(), "data: ") {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			s.first = now.Sub(began)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
	}
	return s
}

// medianTimes opens n streams at once and returns the medians of the times to the first token
// and of the gaps.
func medianTimes(t testing.TB, n int, url string, body func(i int) string) (first, gap time.Duration) {
	var mutex sync.Mutex
	var firsts, gaps []time.Duration
	var w sync.WaitGroup
	for i := range n {
		w.Go(func() {
			s := timeStream(t, url, body(i))
			mutex.Lock()
			defer mutex.Unlock()
			firsts = append(firsts, s.first)
			gaps = append(gaps, s.gaps...)
		})
	}
	w.Wait()
	return median(firsts), median(gaps)
}

// median returns the median of some durations, which it sorts, or zero for none.
func median(l []time.Duration) time.Duration {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}

// BenchmarkRelay compares streams through an entry VM with streams directly from the simulated
// engine, in one run with real processes.
func BenchmarkRelay(b *testing.B) {
	s := newSystem(b, options{
		entries: 1, engines: 1,
		settings:   longTimeouts + "admission = slots\nslots = 10000\n",
		engineArgs: []string{"--step", "5ms", "--step-more", "0s", "--batch", "2000", "--memory", "10000000"},
	})
	const tokens = 1000
	direct := "http://" + s.engines[0].listen + "/v1/generations"
	relayed := "http://" + s.entries[0].listen + entry.PathChat
	for _, n := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			for k := range b.N {
				f0, g0 := medianTimes(b, n, direct, func(i int) string {
					return fmt.Sprintf(`{"generation":"%d-%d-%d","model":"desk","prompt":"x","prompt_tokens":5,"max_tokens":%d,"priority":"standard","metadata":{"standin_tokens":"%d"}}`, n, k, i, tokens, tokens)
				})
				c := cpuTime(b, s.entries[0])
				m := residentKB(b, s.entries[0])
				f1, g1 := medianTimes(b, n, relayed, func(int) string {
					return fmt.Sprintf(`{"model":"desk","stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"standin_tokens":"%d"}}`, tokens)
				})
				used := cpuTime(b, s.entries[0]) - c
				b.ReportMetric(float64((f1 - f0).Microseconds()), "added-first-us")
				b.ReportMetric(float64((g1 - g0).Microseconds()), "added-gap-us")
				b.ReportMetric(float64(f1)/float64(f0), "first-ratio")
				b.ReportMetric(float64(g1)/float64(g0), "gap-ratio")
				b.ReportMetric(float64(n*tokens)/used.Seconds(), "tokens/core-s")
				b.ReportMetric(float64(residentKB(b, s.entries[0])-m)/float64(n), "KB/stream")
			}
		})
	}
}
