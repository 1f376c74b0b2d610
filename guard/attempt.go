package guard

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// Attempt tracks one HTTP request and lets it be sent on one connection only. If net/http
// retries the request by itself, writes to the second connection fail.
type Attempt struct {
	notBefore time.Time

	mu     sync.Mutex
	conns  []*Conn
	sentOn *Conn
	stale  bool
	ended  bool
	// reused is true if the last connection has served another request before.
	reused bool
	// untracked is true if the transport used a connection that isn't a Conn, so that the
	// attempt can't tell whether bytes were sent.
	untracked bool
}

// NewAttempt returns an attempt that uses no connection opened before notBefore.
func NewAttempt(notBefore time.Time) *Attempt {
	return &Attempt{notBefore: notBefore}
}

// Context returns a context for the attempt's request.
func (a *Attempt) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

// Stale reports whether the attempt rejected a pooled connection because of its age.
func (a *Attempt) Stale() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stale
}

// End prevents further writes by the attempt, closes its connections and reports whether
// any byte was sent. If it returns false, none ever will be.
func (a *Attempt) End() (sent bool) {
	a.mu.Lock()
	a.ended = true
	conns := a.conns
	sent = a.sentOn != nil || a.untracked
	a.mu.Unlock()
	for _, c := range conns {
		c.closeIfOwned(a)
	}
	return sent
}

// Progress describes how far the attempt came, for the log: whether it had a connection, how old
// that was, and whether bytes were sent on it.
func (a *Attempt) Progress(now time.Time) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.sentOn != nil:
		return "sent on a connection opened " + now.Sub(a.sentOn.openedAt).Round(time.Millisecond).String() + " ago"
	case len(a.conns) > 0:
		return "not sent, with a connection"
	case a.untracked:
		return "on an untracked connection"
	default:
		return "no connection"
	}
}

// ResetWhenOpened reports whether the server has reset a connection that was opened for the attempt, which failed with
// err. Servers do that with connections above their limit: it says nothing about those that they serve.
func (a *Attempt) ResetWhenOpened(err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns) > 0 && !a.reused && errors.Is(err, syscall.ECONNRESET)
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*Conn)
	if !ok {
		a.mu.Lock()
		a.untracked = true
		a.mu.Unlock()
		return
	}
	if c.openedAt.Before(a.notBefore) {
		a.mu.Lock()
		a.stale = true
		a.mu.Unlock()
		c.setOwner(nil)
		_ = c.Close()
		return
	}
	a.mu.Lock()
	a.conns = append(a.conns, c)
	a.reused = info.Reused
	a.mu.Unlock()
	c.setOwner(a)
}

// allowWrite reports whether the attempt may write to a connection. If so, it records this
// connection as the attempt's only one.
func (a *Attempt) allowWrite(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.sentOn != nil && a.sentOn != c {
		return false
	}
	a.sentOn = c
	return true
}
