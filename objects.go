package endive

import "context"

// Objects is the platform's object store. Objects are immutable.
type Objects interface {
	// Put stores an object under a name. The error is of class ErrUnavailable or
	// ErrUnknown. Storing the same bytes again has no effect.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the object with a name. The error is of class ErrNotFound or
	// ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
}
