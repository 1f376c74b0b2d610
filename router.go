package endive

// Distance is the network distance between this entry and an executor.
type Distance int

// The distances, nearest first.
const (
	// SameZone means that both are in the same availability zone.
	SameZone Distance = iota
	// SameRegion means that the executor is in another availability zone of the
	// entry's region.
	SameRegion
	// OtherRegion means that the executor is in another region.
	OtherRegion
)

// Candidate is an executor that is eligible to run a request now.
type Candidate struct {
	Executor ExecutorID
	Distance Distance
	// Free is how many more requests this entry may start on the executor.
	Free int
	// Busy is how many requests of this entry the executor is running.
	Busy int
	// ServiceTime is the estimated time of one request on the executor, from earlier
	// requests; 0 if there is no estimate yet.
	ServiceTime Interval
	// FailureRate is the estimated fraction of failed attempts, from 0 to 1.
	FailureRate float64
}

// Candidates is a list of candidates, sorted by executor id.
type Candidates []Candidate

// Router is the policy that selects an executor for a request.
type Router interface {
	// Choose returns the index of the best candidate and the reason. It returns -1 if
	// no candidate should run the request now. It is deterministic. It must not
	// retain the list, which the caller reuses.
	Choose(candidates Candidates) (int, string)
}
