package serve

import (
	"net/http"

	"endiveroute.example/endive/apiv1"
)

// Health returns the handler of the health listener. It serves the load
// balancer's checks and the metrics.
func (s *Server) Health(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(apiv1.PathHealth, s.handleHealth)
	mux.HandleFunc(apiv1.PathReady, s.handleReady)
	mux.Handle(apiv1.PathMetrics, metrics)
	mux.Handle("/", notFoundHandler{})
	return mux
}

// handleHealth always answers with status 200, which shows that the process is
// running.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, http.StatusOK, "text/plain; charset=utf-8", []byte("alive\n"))
}

// handleReady answers with status 200 if the load balancer should send clients to
// this entry, and else with 503.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	phase := s.Gate.Phase()
	if phase == PhaseServing {
		status = http.StatusOK
	}
	writeBody(w, status, "text/plain; charset=utf-8", []byte(string(phase)+"\n"))
}
