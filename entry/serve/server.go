package serve

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Bounds on the connections of callers and operators.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server makes the handlers of an entry.
type Server struct {
	Config
	requests     *semaphore
	operations   *semaphore
	bodies       *semaphore
	requestCount atomic.Uint64
}

// New returns a Server.
func New(config Config) *Server {
	return &Server{
		Config:     config,
		requests:   newSemaphore(int64(config.Limits.Requests)),
		operations: newSemaphore(int64(config.Limits.Operations)),
		bodies:     newSemaphore(int64(config.Limits.BodyMemory)),
	}
}

// ClientHandler returns the handler of the callers' listener: requests to services and
// jobs.
func (s *Server) ClientHandler() http.Handler {
	return s.newMux(append(s.requestRoutes(), s.jobRoutes()...))
}

// OperatorHandler returns the handler of the operators' listener, which has all calls.
func (s *Server) OperatorHandler() http.Handler {
	routes := append(s.requestRoutes(), s.jobRoutes()...)
	routes = append(routes, s.ticketRoutes()...)
	return s.newMux(append(routes, s.stateRoutes()...))
}

// nextRequestID returns the id of a new request.
func (s *Server) nextRequestID() endive.RequestID {
	return endive.RequestID(string(s.Entry) + "." + string(s.Incarnation) + "." + strconv.FormatUint(s.requestCount.Add(1), 10))
}

// HTTPServer returns an http.Server for a handler, with bounds on what a
// connection may take. It has no bound on the whole time of a call, which lies
// in the call's deadline.
func HTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(apiv1.MaxHeaders),
	}
}
