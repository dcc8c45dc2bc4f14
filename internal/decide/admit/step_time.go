package admit

// stepDecay is the share of the past that one report leaves in force.
const stepDecay = 0.98

// stepTimeModel learns an engine's step time as a line over its batch size.
type stepTimeModel struct {
	n, x, y, xx, xy float64
}

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

// estimate estimates the estimate time in ms at a batch size; 0 when nothing is known.
func (m *stepTimeModel) estimate(batch int) float64 {
	if m.n == 0 {
		return 0
	}
	mx, my := m.x/m.n, m.y/m.n
	v := m.xx/m.n - mx*mx
	if v < 1 {
		// The batch hardly varied, so only the mean is known.
		return my
	}
	s := max(0, (m.xy/m.n-mx*my)/v)
	return max(0, my+s*(float64(batch)-mx))
}
