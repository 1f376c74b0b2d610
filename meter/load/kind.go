package load

// Kind is a kind of arrival.
type Kind string

// The kinds of the mix.
const (
	// Quote is an idempotent, interactive request.
	Quote Kind = "quote"
	// Cut is a non-idempotent request with an idempotency key.
	Cut Kind = "cut"
	// Plan is a batch job.
	Plan Kind = "plan"
)

// Kinds returns all kinds in the order in which reports list them.
func Kinds() []Kind { return []Kind{Quote, Cut, Plan} }
