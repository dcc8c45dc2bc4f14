package rollout

import "math"

const (
	// minFailures is the number of failures below which no version is found bad: single ones
	// are those of a server or a link.
	minFailures = 3
	// failureMargin is how far the failure rate of a bad version exceeds that of the others.
	failureMargin = 0.1
	// failureFactor and minFailureRate raise the failure rate that the target version is
	// compared with, since a faulty server may be among its few.
	failureFactor  = 1.5
	minFailureRate = 0.02
	// maxChance is the chance of as many failures at a good version from which it is found bad.
	maxChance = 1e-4
	// minTimes is the number of times from which a version is found slow.
	minTimes = 5
	// slowFactor is how many times slower than the others a bad version is at least.
	slowFactor = 1.8
	// slowDeviations is the number of standard deviations by which the mean time of a slow
	// version has to exceed that of the others.
	slowDeviations = 4
)

// flaw is what a version was found to do worse than the others, empty for nothing.
type flaw string

// Flaws in the order in which they are looked for.
const (
	noFlaw     flaw = ""
	failsOften flaw = "failures"
	startsSlow flaw = "slow answers"
	runsSlow   flaw = "slow events"
)

// judge compares the target version with the others, over all routes and on each route.
func (e evidence) judge() (flaw, string) {
	var target, others Stats
	for c, s := range e {
		if c.target {
			target.merge(s)
			if f := compare(s, e[cohort{c.route, false}]); f != noFlaw {
				return f, c.route
			}
			continue
		}
		others.merge(s)
	}
	if frequentFailures(target, others) {
		return failsOften, ""
	}
	return noFlaw, ""
}

func compare(target, others Stats) flaw {
	switch {
	case frequentFailures(target, others):
		return failsOften
	case slower(target.Took, others.Took):
		return startsSlow
	case slower(target.Pace, others.Pace):
		return runsSlow
	default:
		return noFlaw
	}
}

// frequentFailures reports whether the target version fails clearly more often than the others.
func frequentFailures(target, others Stats) bool {
	n := target.Served + target.Failed
	if target.Failed < minFailures {
		return false
	}
	usual := float64(others.Failed) / float64(max(1, others.Served+others.Failed))
	if float64(target.Failed)/float64(n) < usual+failureMargin {
		return false
	}
	return upperTail(n, target.Failed, min(0.9, max(minFailureRate, failureFactor*usual))) < maxChance
}

// slower reports whether the target version takes clearly longer than the others.
func slower(target, others Times) bool {
	if target.Count < minTimes || others.Count < minTimes {
		return false
	}
	d := target.mean() - others.mean()
	return d >= math.Log(slowFactor) && d >= slowDeviations*math.Sqrt(target.variance()+others.variance())
}

// upperTail returns the chance of k or more failures among n requests that each fail with
// probability p.
func upperTail(n, k int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		x := logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p)
		sum += math.Exp(x)
	}
	return sum
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
