package port

// Signals is what a backend server says of itself in the head of an answer.
type Signals struct {
	// Answered is set where an answer of the server came at all.
	Answered bool
	// Limited is set where it names a limit, and Limit is that: the requests a second that it
	// takes from all entry VMs together, for as long as its answers say so.
	Limited bool
	Limit   float64
	// Unreadable is the text of a signal that could not be read; empty for none.
	Unreadable string
}
