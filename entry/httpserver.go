package main

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
)

// httpServer serves HTTP requests on one listener.
type httpServer struct {
	name     string
	log      hclog.Logger
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("HTTP server failed", "listener", s.name, "error", err.Error())
	}
}

// shutdown closes the listener and waits for the requests in flight.
func (s *httpServer) shutdown(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.Warn("HTTP server stopped with requests in flight", "listener", s.name, "error", err.Error())
	}
}
