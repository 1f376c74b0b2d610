package serve

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Timeouts of the connections of clients and operators.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Server provides the HTTP handlers of an entry.
type Server struct {
	Config
	requests     *semaphore
	operations   *semaphore
	bodies       *semaphore
	requestCount atomic.Uint64
}

// New returns a Server with no calls in flight.
func New(config Config) *Server {
	return &Server{
		Config:     config,
		requests:   newSemaphore(int64(config.Limits.Requests)),
		operations: newSemaphore(int64(config.Limits.Operations)),
		bodies:     newSemaphore(int64(config.Limits.BodyMemory)),
	}
}

// ClientHandler returns the handler of the listener for clients. It serves the
// calls about requests and jobs.
func (s *Server) ClientHandler() http.Handler {
	return s.newMux(append(s.requestRoutes(), s.jobRoutes()...))
}

// OperatorHandler returns the handler of the listener for operators. It serves
// all calls.
func (s *Server) OperatorHandler() http.Handler {
	routes := append(s.requestRoutes(), s.jobRoutes()...)
	routes = append(routes, s.ticketRoutes()...)
	return s.newMux(append(routes, s.stateRoutes()...))
}

// nextRequestID returns a unique id for a new request.
func (s *Server) nextRequestID() endive.RequestID {
	return endive.RequestID(string(s.Entry) + "." + string(s.Incarnation) + "." + strconv.FormatUint(s.requestCount.Add(1), 10))
}

// HTTPServer returns an http.Server for a handler, with limits on header size,
// read time and idle time. It doesn't limit the total time of a call: the call's
// own deadline does.
func HTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(apiv1.MaxHeaders),
	}
}
