package rollout

// budget bounds the requests that one chooser sends to the target version by a share of all the
// requests that it sends to the service. Each chooser stays within the share of its own requests,
// so that the sum over all of them does too, without any of them knowing of the others: one that
// is cut off, has just started or was suspended can't exceed it.
type budget struct {
	share  float64
	credit float64
}

// newBudget returns a budget whose first credit is drawn from [0, 1). With a fixed first credit,
// choosers with few requests would send none to the target version, or all their first ones.
func newBudget(share, draw float64) budget {
	return budget{share: share, credit: draw}
}

// maxCredit bounds the requests that may be sent to the target version in a row, after a time in
// which no server of it could take one.
const maxCredit = 10

// recordSend records a request to the service, and whether the target version got it.
func (b *budget) recordSend(target bool) {
	b.credit = min(b.credit+b.share, maxCredit)
	if target {
		b.credit--
	}
}

// allows reports whether the next request may go to the target version. The share of that
// request counts: it is sent to the service in any case.
func (b *budget) allows() bool {
	return b.credit+b.share >= 1
}
