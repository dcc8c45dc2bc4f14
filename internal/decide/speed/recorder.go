package speed

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// maxPerReport is the number of engines that a report has samples of. The others follow with the
// next report. Few holders have streams at more engines of a failure domain; with 40 buckets each,
// the samples take 30 KB.
const maxPerReport = 64

// observed is what a holder knows of one engine.
type observed struct {
	// counts, read and readTokens were observed since the last report.
	counts map[int]int
	read   api.ReadTime
	// gaps and rate are the figures for an allocator that has not got the earlier samples.
	gaps gaps
	rate float64
	// reported is set once samples were sent, the last ones to the allocator at an address. They
	// are lost if the report failed.
	reported bool
	to       string
	lost     bool
}

// Recorder collects the samples of an entry VM until its next report to the allocator of the
// engines.
type Recorder struct {
	domains map[api.DomainName]map[api.ServerName]*observed
}

// NewRecorder returns an empty record.
func NewRecorder() *Recorder {
	return &Recorder{domains: map[api.DomainName]map[api.ServerName]*observed{}}
}

func (r *Recorder) engine(d api.DomainName, n api.ServerName) *observed {
	m, ok := r.domains[d]
	if !ok {
		m = map[api.ServerName]*observed{}
		r.domains[d] = m
	}
	e, ok := m[n]
	if !ok {
		e = &observed{counts: map[int]int{}}
		m[n] = e
	}
	return e
}

// RecordGap adds a gap between two events of a stream that an engine has sent.
func (r *Recorder) RecordGap(d api.DomainName, n api.ServerName, gap time.Duration) {
	e, b := r.engine(d, n), bucket(gap)
	e.counts[b] = min(e.counts[b]+1, maxCount)
	e.gaps.add(b, 1)
}

// RecordPrefill adds the time until the first event of a request that found no unread prompt
// ahead of it. The time of a short prompt says little about the prefill and is left out.
func (r *Recorder) RecordPrefill(d api.DomainName, n api.ServerName, tokens api.Tokens, took time.Duration) {
	ms := int(took.Milliseconds())
	if tokens < minPrompt || ms <= 0 {
		return
	}
	e := r.engine(d, n)
	if e.read.Tokens+tokens <= maxRead && e.read.MS+ms <= maxRead {
		e.read.Tokens += tokens
		e.read.MS += ms
	}
	e.rate = updateRate(e.rate, min(1000*float64(tokens)/float64(ms), maxRate))
}

// Take returns the samples of a failure domain's engines for a report to its allocator at an
// address, and removes them. An allocator that has not got the earlier samples also gets the
// figures of the engines where load is held. If the report that carries them is lost, so are the
// samples.
func (r *Recorder) Take(d api.DomainName, to string, holds func(n api.ServerName) bool) map[api.ServerName]api.SpeedSample {
	m := r.domains[d]
	l := map[api.ServerName]api.SpeedSample{}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		e, held := m[n], holds(n)
		fresh := len(e.counts) > 0 || e.read.Tokens > 0
		resend := held && e.reported && (e.lost || e.to != to)
		if (fresh || resend) && len(l) < maxPerReport {
			l[n] = e.take(to, resend)
			fresh = false
		}
		if !held && !fresh {
			delete(m, n)
		}
	}
	if len(m) == 0 {
		delete(r.domains, d)
	}
	return l
}

// take returns the sample of one engine and removes it.
func (e *observed) take(to string, figures bool) api.SpeedSample {
	var x api.SpeedSample
	if len(e.counts) > 0 {
		x.Gaps = make(map[string]int, len(e.counts))
		for b, n := range e.counts {
			x.Gaps[strconv.Itoa(b)] = n
		}
	}
	if e.read.Tokens > 0 {
		read := e.read
		x.Read = &read
	}
	if figures {
		if b, ok := e.gaps.base(); ok {
			x.BaseUS = int(min(b.Microseconds(), maxBaseMicros))
		}
		x.ReadRate = e.rate
	}
	clear(e.counts)
	e.read = api.ReadTime{}
	e.reported, e.lost, e.to = true, false, to
	return x
}

// ReportFailed records that a report to the allocator of a failure domain failed. The next report
// has the figures of the engines, which make up for the samples that were lost.
func (r *Recorder) ReportFailed(d api.DomainName) {
	for _, e := range r.domains[d] {
		e.lost = true
	}
}

// Forget drops the records of engines that are not known.
func (r *Recorder) Forget(known func(n api.ServerName) bool) {
	for d, m := range r.domains {
		maps.DeleteFunc(m, func(n api.ServerName, _ *observed) bool { return !known(n) })
		if len(m) == 0 {
			delete(r.domains, d)
		}
	}
}
