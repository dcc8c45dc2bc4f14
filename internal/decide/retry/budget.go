package retry

// maxSaved is the number of retries that a quiet process may save up.
const maxSaved = 10

// Budget allows retries as a share of fresh requests, so that a brown-out
// can't multiply the load.
type Budget struct {
	permille int
	credit   int
}

// retryCost is the credit of one retry.
const retryCost = 1000

// New makes a budget of so many retries per 1000 fresh requests.
func New(permille int) *Budget {
	return &Budget{permille: permille, credit: min(permille, 1) * maxSaved * retryCost}
}

// CountFresh notes a request that is asked for the first time.
func (b *Budget) CountFresh() {
	b.credit = min(b.credit+b.permille, maxSaved*retryCost)
}

// Allow takes one retry out of the budget or reports false.
func (b *Budget) Allow() bool {
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}
