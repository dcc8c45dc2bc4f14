package bandwidth

import "time"

// BytesPerSecond is a rate of traffic.
type BytesPerSecond float64

// bytesPerMbit is the number of bytes in a Mbit.
const bytesPerMbit = 1e6 / 8

// FromMbps converts a rate in Mbit/s.
func FromMbps(n float64) BytesPerSecond {
	return BytesPerSecond(n * bytesPerMbit)
}

// meterWindow is the time over which rates are measured.
const meterWindow = time.Second

// Totals are the bytes that a link has carried each way since the process started.
type Totals struct {
	Sent, Received int64
	// Callers are the bytes sent to and received from callers. The link carries each of them once more the
	// other way, from or to a server.
	Callers int64
}

// sample is a reading of the totals.
type sample struct {
	at     time.Time
	totals Totals
}

// Meter measures the rate of the traffic over a link. The zero value has no readings.
type Meter struct {
	samples []sample
}

// Record adds a reading of the totals.
func (m *Meter) Record(now time.Time, t Totals) {
	m.samples = append(m.samples, sample{now, t})
	old := 0
	for old+1 < len(m.samples) && now.Sub(m.samples[old+1].at) >= meterWindow {
		old++
	}
	m.samples = append(m.samples[:0], m.samples[old:]...)
}

// Rate returns the rates each way over the last second, or since the first reading. It is zero before
// the second one.
func (m *Meter) Rate() (sent, received BytesPerSecond) {
	return m.mean(func(t Totals) int64 { return t.Sent }), m.mean(func(t Totals) int64 { return t.Received })
}

// CallersRate returns the rate of callers' requests and answers, like Rate.
func (m *Meter) CallersRate() BytesPerSecond {
	return m.mean(func(t Totals) int64 { return t.Callers })
}

// mean returns the mean rate of one of the totals.
func (m *Meter) mean(of func(t Totals) int64) BytesPerSecond {
	if len(m.samples) < 2 {
		return 0
	}
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	d := last.at.Sub(first.at).Seconds()
	if d <= 0 {
		return 0
	}
	return BytesPerSecond(float64(of(last.totals)-of(first.totals)) / d)
}
