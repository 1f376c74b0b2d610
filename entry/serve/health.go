package serve

import (
	"net/http"

	"endiveroute.example/endive/apiv1"
)

// Health returns the handler of the health listener: the balancer's checks, and
// the page of metrics.
func (s *Server) Health(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(apiv1.PathHealth, s.handleHealth)
	mux.HandleFunc(apiv1.PathReady, s.handleReady)
	mux.Handle(apiv1.PathMetrics, metrics)
	mux.Handle("/", notFoundHandler{})
	return mux
}

// handleHealth answers as long as the process can.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, http.StatusOK, "text/plain; charset=utf-8", []byte("alive\n"))
}

// handleReady tells the balancer whether to send callers here.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	phase := s.Gate.Phase()
	if phase == PhaseServing {
		status = http.StatusOK
	}
	writeBody(w, status, "text/plain; charset=utf-8", []byte(string(phase)+"\n"))
}
