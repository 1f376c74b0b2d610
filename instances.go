package endive

import "context"

// Instances reads the platform's instance list.
type Instances interface {
	// List returns all instances in the list. The error is of class ErrUnavailable.
	List(ctx context.Context) ([]Instance, error)
}
