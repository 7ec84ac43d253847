package backpressure

// Signal is what a target says of itself in the head of an answer. The zero value asks for
// nothing.
type Signal struct {
	// Limit is how many requests the target takes.
	Limit Limit
}

// Limit is a rate of requests from all nodes together. The zero value is none.
type Limit struct {
	// Set says that there is a limit.
	Set bool
	// PerSecond is not negative; with 0 the target takes nothing.
	PerSecond float64
}
