package endive

import "context"

// A context's deadline bounds a read as a whole, so that a large response on a slow link is
// given up however fast it arrives, and sent again in full by the next read. A stall timeout
// bounds the times without progress instead.

type stallTimeoutKey struct{}

type readObserverKey struct{}

// ReadObserver observes the progress of a read.
type ReadObserver interface {
	// BytesReceived records that bytes of a successful response have just been received.
	BytesReceived()
}

// WithStallTimeout returns a context for reads that may take any time while they make
// progress: the timeout bounds the wait for the beginning of a response, and each pause
// between received bytes. The context's deadline applies in addition.
func WithStallTimeout(ctx context.Context, timeout Interval) context.Context {
	return context.WithValue(ctx, stallTimeoutKey{}, timeout)
}

// StallTimeout returns the stall timeout of a context, or 0 if it has none.
func StallTimeout(ctx context.Context) Interval {
	timeout, _ := ctx.Value(stallTimeoutKey{}).(Interval)
	return timeout
}

// observers is a list of observers, the latest first.
type observers struct {
	observer ReadObserver
	earlier  *observers
}

// WithReadObserver returns a context whose reads are observed, also by the observers that the
// given context has already.
func WithReadObserver(ctx context.Context, observer ReadObserver) context.Context {
	earlier, _ := ctx.Value(readObserverKey{}).(*observers)
	return context.WithValue(ctx, readObserverKey{}, &observers{observer: observer, earlier: earlier})
}

// ReportReceived reports received bytes to the observers of a context. The client of the
// platform calls it.
func ReportReceived(ctx context.Context) {
	list, _ := ctx.Value(readObserverKey{}).(*observers)
	for ; list != nil; list = list.earlier {
		list.observer.BytesReceived()
	}
}
