package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/fault"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 64 << 20

// Server serves one simulated service on one listener.
type Server struct {
	target         fault.Target
	faults         *fault.Set
	handler        Handler
	maxConnections int

	listener   net.Listener
	httpServer http.Server
	ctx        context.Context
	cancel     context.CancelFunc

	mu             sync.Mutex
	previousAnswer Answer
	counts         Counts
}

// New returns a server that listens on address, such as "127.0.0.1:0". If
// maxConnections is above 0, it limits the open connections; further ones are
// closed at once.
func New(target fault.Target, faults *fault.Set, handler Handler, address endive.Address, maxConnections int) (*Server, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, errs.New("serve.New: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		target:         target,
		faults:         faults,
		handler:        handler,
		maxConnections: maxConnections,
		listener:       listener,
		ctx:            ctx,
		cancel:         stop,
	}
	s.httpServer.Handler = s
	s.httpServer.ConnContext = s.connContext
	s.httpServer.ConnState = s.connState
	go s.serveHTTP()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() endive.Address {
	return endive.Address(s.listener.Addr().String())
}

// Target returns the simulated service by which faults select this server.
func (s *Server) Target() fault.Target { return s.target }

// Counts returns a copy of the server's counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Close stops the server: it waits for requests in flight until the deadline, and
// then closes their connections.
func (s *Server) Close(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.cancel()
	if err := s.httpServer.Shutdown(ctx); err != nil {
		return s.httpServer.Close()
	}
	return nil
}

func (s *Server) serveHTTP() { _ = s.httpServer.Serve(s.listener) }

// connNumberKey is the context key of a connection's number.
type connNumberKey struct{}

func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumberKey{}, s.faults.NextConn())
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Connections++
		if s.maxConnections > 0 && s.counts.Connections > s.maxConnections {
			s.counts.OverLimit++
			_ = conn.Close()
			return
		}
		s.counts.MostConnections = max(s.counts.MostConnections, s.counts.Connections)
	case http.StateClosed, http.StateHijacked:
		s.counts.Connections--
	}
}
