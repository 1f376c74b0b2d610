package cell

import (
	"context"
	"net/http"
)

// storeLink is the way of one entry to the store. It implements http.Handler.
type storeLink struct {
	store http.Handler
	// up is cancelled by cut.
	up   context.Context
	down context.CancelFunc
}

func newStoreLink(store http.Handler) *storeLink {
	up, down := context.WithCancel(context.Background())
	return &storeLink{store: store, up: up, down: down}
}

// cut breaks the link for good: calls in flight and all further ones get no response.
func (l *storeLink) cut() { l.down() }

// ServeHTTP implements http.Handler.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(l.up, cancel)
	defer stop()
	if l.up.Err() == nil {
		l.store.ServeHTTP(w, r.WithContext(ctx))
	}
	if l.up.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
