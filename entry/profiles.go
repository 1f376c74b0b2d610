package main

import (
	"net/http"
	"net/http/pprof"
)

// withProfiles adds the handlers of net/http/pprof to a handler. It
// wraps the health or metrics listener, which only operators and the load balancer reach.
func withProfiles(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("/", next)
	return mux
}
