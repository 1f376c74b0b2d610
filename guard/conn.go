package guard

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// errWriteNotAllowed is the error of a write for which the connection has no attempt that
// may still send.
var errWriteNotAllowed = errs.New("Conn.Write: connection not assigned to an attempt that may still send")

// Conn is a connection that sends only for the Attempt that owns it.
type Conn struct {
	net.Conn
	openedAt time.Time

	mu    sync.Mutex
	owner *Attempt
}

// Write sends the bytes if the attempt that owns the connection may still send.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	owner := c.owner
	c.mu.Unlock()
	if owner == nil || !owner.allowWrite(c) {
		return 0, errWriteNotAllowed
	}
	return c.Conn.Write(p)
}

// setOwner assigns the connection to an attempt, or to none for nil.
func (c *Conn) setOwner(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = a
}

// closeIfOwned closes the connection if the given attempt still owns it.
func (c *Conn) closeIfOwned(a *Attempt) {
	c.mu.Lock()
	owned := c.owner == a
	c.mu.Unlock()
	if owned {
		_ = c.Close()
	}
}
