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

// route is one call of the API.
type route struct {
	method string
	path   string
	// limit limits the number of calls in flight.
	limit *semaphore
	// isRequest is true for requests to services. Their errors include an outcome.
	isRequest bool
	handle    func(w http.ResponseWriter, r *http.Request) error
}

// newMux returns a handler for the routes. Other paths and methods get an error
// in JSON.
func (s *Server) newMux(routes []route) http.Handler {
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

// allowed returns the list of methods for the Allow header and error messages.
func (m methods) allowed() string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

// pathHandler serves the routes of one path.
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
			Code: apiv1.CodeMethodNotAllowed, Message: r.Method + " is not allowed on this path",
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

// serve runs a call, or refuses it if the entry accepts no work or has too many
// calls in flight.
func (s *Server) serve(route route, w http.ResponseWriter, r *http.Request) {
	if s.Gate.Phase() != PhaseServing {
		w.Header().Set("Connection", "close")
	}
	refused := s.admit(route)
	if refused != nil {
		writeError(w, refused)
		return
	}
	defer route.limit.release(1)
	if err := route.handle(w, r); err != nil {
		failed := newError(err, r.Method)
		if failed.Code == apiv1.CodeInternal {
			s.Logger.Error("call failed", "call", route.method+" "+route.path, "error", err)
		}
		if route.isRequest {
			failed.Outcome = endive.NotRun
		}
		writeError(w, failed)
	}
}

// admit adds a call to the calls in flight. If the call is refused, it returns
// the error to answer with.
func (s *Server) admit(route route) *apiv1.Error {
	var refused *apiv1.Error
	switch {
	case !s.Gate.Open() && (route.isRequest || route.method != http.MethodGet):
		refused = &apiv1.Error{
			Code: apiv1.CodeUnavailable, Message: "this entry is " + string(s.Gate.Phase()) + "; nothing was done",
			Next: "Send it to another entry.", RetryAfter: defaultRetryAfter,
		}
	case !route.limit.acquire(1):
		refused = &apiv1.Error{
			Code: apiv1.CodeBusy, Message: "this entry has too many calls in flight; nothing was done",
			Next: "Try again later, or send it to another entry.", RetryAfter: defaultRetryAfter,
		}
	}
	if refused != nil && route.isRequest {
		refused.Outcome = endive.NotRun
	}
	return refused
}

// notFoundHandler answers calls to unknown paths.
type notFoundHandler struct{}

// ServeHTTP implements http.Handler.
func (notFoundHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writeError(w, &apiv1.Error{
		Code: apiv1.CodeNotFound, Message: "there is no such path on this listener",
		Next: "docs/API.md lists the paths of the listeners for clients and operators.",
	})
}

// statusWriter records the status of a response, for metrics.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the inner writer, which http.ResponseController needs to set
// deadlines on the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
