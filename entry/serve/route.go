package serve

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// route is one call of the interface.
type route struct {
	method string
	path   string
	// limit bounds the calls in flight.
	limit *semaphore
	// asks marks requests to services, whose errors carry an outcome.
	asks   bool
	handle func(w http.ResponseWriter, r *http.Request) error
}

// mount returns a handler for routes. What is no route gets an error in JSON.
func (s *Server) mount(routes []route) http.Handler {
	paths := make(map[string]methods)
	for _, one := range routes {
		if paths[one.path] == nil {
			paths[one.path] = make(methods)
		}
		paths[one.path][one.method] = one
	}
	mux := http.NewServeMux()
	for path, methods := range paths {
		mux.Handle(path, pathHandler{server: s, methods: methods})
	}
	mux.Handle("/", notFoundHandler{})
	return mux
}

// methods holds the routes of one path.
type methods map[string]route

// allowed lists the methods for a person and the Allow header.
func (m methods) allowed() string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

// pathHandler runs the routes of one path.
type pathHandler struct {
	server  *Server
	methods methods
}

// ServeHTTP implements http.Handler.
func (p pathHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, ok := p.methods[r.Method]
	if !ok {
		w.Header().Set("Allow", p.methods.allowed())
		writeError(w, &apiv1.Error{
			Code: apiv1.CodeMethodNotAllowed, Message: r.Method + " can't be used here",
			Next: "Use " + p.methods.allowed() + ".",
		})
		return
	}
	counted := &statusWriter{ResponseWriter: w}
	p.server.serve(route, counted, r)
	p.server.Scope.Tagged(map[string]string{
		"call": route.method + " " + route.path, "status": strconv.Itoa(counted.status),
	}).Counter("calls").Inc(1)
}

// serve runs a call, unless the entry takes no work or has too much.
func (s *Server) serve(route route, w http.ResponseWriter, r *http.Request) {
	if s.Gate.Phase() != PhaseServing {
		w.Header().Set("Connection", "close")
	}
	refused := s.refusal(route)
	if refused != nil {
		writeError(w, refused)
		return
	}
	defer route.limit.release(1)
	if err := route.handle(w, r); err != nil {
		failed := errorOf(err, r.Method)
		if failed.Code == apiv1.CodeInternal {
			s.Logger.Error("call failed", "call", route.method+" "+route.path, "error", err)
		}
		if route.asks {
			failed.Outcome = endive.NotRun
		}
		writeError(w, failed)
	}
}

// refusal returns why a call isn't begun, or nil after it took a place among the
// calls in flight.
func (s *Server) refusal(route route) *apiv1.Error {
	var refused *apiv1.Error
	switch {
	case !s.Gate.Open() && (route.asks || route.method != http.MethodGet):
		refused = &apiv1.Error{
			Code: apiv1.CodeUnavailable, Message: "this entry is " + string(s.Gate.Phase()) + "; nothing was done",
			Next: "Ask another entry.", RetryAfter: retrySoon,
		}
	case !route.limit.acquire(1):
		refused = &apiv1.Error{
			Code: apiv1.CodeBusy, Message: "this entry has too many calls in flight; nothing was done",
			Next: "Try again later, or ask another entry.", RetryAfter: retrySoon,
		}
	}
	if refused != nil && route.asks {
		refused.Outcome = endive.NotRun
	}
	return refused
}

// notFoundHandler answers what is no path of the interface.
type notFoundHandler struct{}

// ServeHTTP implements http.Handler.
func (notFoundHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writeError(w, &apiv1.Error{
		Code: apiv1.CodeNotFound, Message: "there is no such path on this listener",
		Next: "docs/API.md lists the paths of the callers' and the operators' listener.",
	})
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
