package admit

// stepDecay is the weight of earlier reports when a new one is observed.
const stepDecay = 0.98

// stepTimeModel estimates an engine's step time from its batch size by linear regression
// over recent reports.
type stepTimeModel struct {
	// n is the total weight of the reports; the others are the weighted sums of the batch
	// size x, of the step time y, and of x*x and x*y.
	n, x, y, xx, xy float64
}

// observe records a report; one of an empty batch says nothing of the step time.
func (m *stepTimeModel) observe(batch int, stepMS float64) {
	if batch == 0 || stepMS <= 0 {
		return
	}
	b := float64(batch)
	m.n = m.n*stepDecay + 1
	m.x = m.x*stepDecay + b
	m.y = m.y*stepDecay + stepMS
	m.xx = m.xx*stepDecay + b*b
	m.xy = m.xy*stepDecay + b*stepMS
}

// estimate returns the expected step time in ms at a batch size, 0 without reports.
func (m *stepTimeModel) estimate(batch int) float64 {
	if m.n == 0 {
		return 0
	}
	mx, my := m.x/m.n, m.y/m.n
	v := m.xx/m.n - mx*mx
	if v < 1 {
		// The batch size hardly varied, so the slope can't be estimated.
		return my
	}
	s := max(0, (m.xy/m.n-mx*my)/v)
	return max(0, my+s*(float64(batch)-mx))
}
