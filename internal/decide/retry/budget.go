package retry

// maxSaved bounds the unused retries that a budget saves up.
const maxSaved = 10

// Budget allows retries as a share of fresh requests, so that retries can't multiply the load
// while many requests fail.
type Budget struct {
	permille int
	credit   int
}

// retryCost is the credit that one retry takes.
const retryCost = 1000

// New makes a budget of permille retries per 1000 fresh requests. It starts full, unless
// permille is zero.
func New(permille int) *Budget {
	return &Budget{permille: permille, credit: min(permille, 1) * maxSaved * retryCost}
}

// CountFresh counts a request that is sent for the first time.
func (b *Budget) CountFresh() {
	b.credit = min(b.credit+b.permille, maxSaved*retryCost)
}

// Allow takes one retry out of the budget, or reports false if none is left.
func (b *Budget) Allow() bool {
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}
