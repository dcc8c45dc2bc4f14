package memory

// Shares of the memory of the VM.
const (
	// budgetShare is the share that all bodies may take together. The rest is for the process
	// itself, its connections' buffers and garbage that is not collected yet.
	budgetShare = 0.25
	// requestShare is the share of the budget that the bodies of requests may take. The rest
	// is kept for answers: a request that was admitted must not lack the memory for its answer
	// because of those admitted after it.
	requestShare = 0.5
	// singleShare is the share of the budget that one body may take.
	singleShare = 0.25
)

// Kind is what a body belongs to.
type Kind int

// Kinds of bodies.
const (
	// Request bodies are refused if there is no memory for them.
	Request Kind = iota
	// Answer bodies wait until there is memory for them: their requests have run.
	Answer
)

// Verdict says whether a body may take more memory.
type Verdict int

// Verdicts on a reservation.
const (
	// Granted memory is reserved until it is released.
	Granted Verdict = iota
	// Exhausted memory may be free later.
	Exhausted
	// TooLarge bodies never get the memory.
	TooLarge
)

// Budget counts the bytes that bodies take. It is not safe for concurrent use.
type Budget struct {
	// total is the size in bytes; zero for no bound.
	total    int64
	used     int64
	requests int64
}

// New returns the budget of a VM with a memory in bytes; zero for no bound.
func New(vm int64) *Budget {
	return &Budget{total: int64(budgetShare * float64(vm))}
}

// Reserve reserves n more bytes for a body that has held bytes so far.
func (b *Budget) Reserve(k Kind, held, n int64) Verdict {
	switch {
	case b.total == 0:
	case held+n > int64(singleShare*float64(b.total)):
		return TooLarge
	case b.used+n > b.total, k == Request && b.requests+n > int64(requestShare*float64(b.total)):
		return Exhausted
	}
	b.used += n
	if k == Request {
		b.requests += n
	}
	return Granted
}

// Release frees n bytes of a body.
func (b *Budget) Release(k Kind, n int64) {
	b.used -= n
	if k == Request {
		b.requests -= n
	}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	return b.used
}
