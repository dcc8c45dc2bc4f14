package admit

// paceKeep is the share of the past that one report leaves in force.
const paceKeep = 0.98

// pace learns an engine's step time as a line over its batch size.
type pace struct {
	n, x, y, xx, xy float64
}

func (p *pace) observe(batch int, stepMS float64) {
	if batch == 0 || stepMS <= 0 {
		return
	}
	b := float64(batch)
	p.n = p.n*paceKeep + 1
	p.x = p.x*paceKeep + b
	p.y = p.y*paceKeep + stepMS
	p.xx = p.xx*paceKeep + b*b
	p.xy = p.xy*paceKeep + b*stepMS
}

// step estimates the step time in ms at a batch size; 0 when nothing is known.
func (p *pace) step(batch int) float64 {
	if p.n == 0 {
		return 0
	}
	mx, my := p.x/p.n, p.y/p.n
	v := p.xx/p.n - mx*mx
	if v < 1 {
		// The batch hardly varied, so only the mean is known.
		return my
	}
	s := max(0, (p.xy/p.n-mx*my)/v)
	return max(0, my+s*(float64(batch)-mx))
}
