package measure

import (
	"fmt"
	"sync"
	"testing"

	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/load"
)

func TestProbe(t *testing.T) {
	var ps []Policy
	two := func() route.Policy { return route.TwoChoices{} }
	for _, e := range []float64{0.05, 0.01, 0.002, 0.0002} {
		ps = append(ps, Policy{Name: fmt.Sprintf("two survival %v", e), Admit: func() admit.Policy { return admit.NewSurvival(e, 63) }, Route: two})
	}
	ps = append(ps, Policy{Name: "two mean", Admit: func() admit.Policy { return admit.Mean{} }, Route: two})
	for _, o := range []float64{0.02, 0.05} {
		ps = append(ps, Policy{Name: fmt.Sprintf("prefix %v survival .01", o), Admit: func() admit.Policy { return admit.NewSurvival(0.01, 63) }, Route: func() route.Policy { return route.Prefix{Over: o} }})
	}
	for _, name := range []string{"skip-hire", "airworks"} {
		m, _ := load.Find(name)
		s := Today()
		for _, f := range []float64{0.9, 1.1, 1.5} {
			for _, p := range ps {
				const seeds = 8
				all := make([]Figures, seeds)
				var w sync.WaitGroup
				for k := range seeds {
					w.Go(func() { all[k] = run(s, p, m, f, false, uint64(k+1)).Figures() })
				}
				w.Wait()
				x, _ := summary(all)
				fmt.Printf("%s %.1f %-26s stall tot %6.2f pre %5.2f gap99 %5.1f gap999 %5.1f first95 %6.0f online95 %6.0f good %6.0f ref %5.1f\n", name, f, p.Name, x.StallTotal, x.Preemptions, x.GapP99, x.GapP999, x.FirstP95, x.OnLineP95, x.Good, x.Refused)
			}
		}
	}
}
