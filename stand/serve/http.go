package serve

import (
	"context"
	"io"
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/fault"
)

// ServeHTTP implements http.Handler: it handles the request and injects the
// faults that are switched on.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	request := Request{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Body: body}
	link := s.linkDelay(request)
	sleep(s.ctx, link)
	if !s.admit(w, r) {
		return
	}
	if slow, ok := s.faults.Hit(s.target, fault.Slow); ok {
		sleep(s.ctx, slow.Delay)
	}
	answer, ok := s.failAll(request)
	if !ok {
		answer = s.handle(request)
	}
	sleep(s.ctx, link)
	s.countRequest(request, answer)
	s.send(w, request, answer)
}

// admit waits while faults block the request, and reports whether to handle it.
// Otherwise it has closed the connection or, for a platform service that is down,
// answered with status 503.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	number, _ := r.Context().Value(connNumberKey{}).(fault.ConnNumber)
	if s.faults.Silenced(s.target, number) {
		select {
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		closeConn(w)
		return false
	}
	if kind, cut := s.cutFault(r.Header); cut {
		s.waitUntilOff(r.Context(), kind)
		closeConn(w)
		return false
	}
	s.waitUntilOff(s.ctx, fault.Paused)
	if _, down := s.faults.Hit(s.target, fault.Down); down {
		if !s.target.Platform() {
			closeConn(w)
			return false
		}
		s.write(w, r.Header, Text(http.StatusServiceUnavailable, "down"))
		return false
	}
	return true
}

// cutFault returns the fault that cuts the connection of the request, if one is
// switched on.
func (s *Server) cutFault(header http.Header) (fault.Kind, bool) {
	if _, on := s.faults.On(s.target, fault.Cut); on {
		return fault.Cut, true
	}
	_, on := s.faults.On(s.target, fault.LinkCut)
	return fault.LinkCut, on && s.isCrossRegion(header)
}

// isCrossRegion reports whether a request with this header comes from another
// region.
func (s *Server) isCrossRegion(header http.Header) bool {
	from := endive.Region(header.Get(rest.HeaderRegion))
	return from != "" && from != s.target.Region
}

// countRequest counts a request, including one that fault FailAll fails.
func (s *Server) countRequest(request Request, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	if s.isCrossRegion(request.Header) {
		s.counts.CrossRequests++
		s.counts.CrossBytes += len(request.Body) + len(answer.Body)
	}
}

// failAll returns a failure and true if fault FailAll is switched on. It lets
// requests to workers pass, because workers fail their tasks instead.
func (s *Server) failAll(Request) (Answer, bool) {
	if s.target.Part == fault.Worker {
		return Answer{}, false
	}
	if _, ok := s.faults.Hit(s.target, fault.FailAll); ok {
		return Text(http.StatusInternalServerError, "fault failAll is switched on"), true
	}
	return Answer{}, false
}

func (s *Server) handle(request Request) Answer {
	if _, repeated := s.faults.Hit(s.target, fault.Repeated); repeated {
		s.handler.Handle(s.ctx, request)
	}
	return withRequestID(request.Header, s.handler.Handle(s.ctx, request))
}

// linkDelay returns the one-way delay between the client's region and this one.
func (s *Server) linkDelay(request Request) endive.Interval {
	if !s.isCrossRegion(request.Header) {
		return 0
	}
	link, _ := s.faults.On(s.target, fault.Link)
	return link.Delay
}

// waitUntilOff waits until no fault of the kind is switched on for the server,
// ctx ends, or the server stops.
func (s *Server) waitUntilOff(ctx context.Context, kind fault.Kind) {
	for {
		changed := s.faults.Changed()
		if _, on := s.faults.On(s.target, kind); !on {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// sleep pauses for i, or until ctx ends.
func sleep(ctx context.Context, i endive.Interval) {
	if i <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(i))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
