package serve

import (
	"context"
	"net/http"

	"endiveroute.example/endive/apiv1"
)

// stateRoutes returns the calls that show the state known to the entry.
func (s *Server) stateRoutes() []route {
	return []route{
		{http.MethodGet, apiv1.PathEntries, s.operations, false, s.entries},
		{http.MethodGet, apiv1.PathInstances, s.operations, false, s.instances},
		{http.MethodGet, apiv1.PathWorkers, s.operations, false, s.workers},
		{http.MethodGet, apiv1.PathSlices, s.operations, false, s.slices},
		{http.MethodGet, apiv1.PathSlots, s.operations, false, s.slots},
	}
}

func (s *Server) entries(w http.ResponseWriter, r *http.Request) error {
	return handleRead(w, r, func(ctx context.Context) (any, error) { return s.Backend.Entries(ctx) })
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) error {
	return handleRead(w, r, func(ctx context.Context) (any, error) { return s.Backend.Instances(ctx) })
}

func (s *Server) workers(w http.ResponseWriter, r *http.Request) error {
	return handleRead(w, r, func(ctx context.Context) (any, error) { return s.Backend.Workers(ctx) })
}

func (s *Server) slices(w http.ResponseWriter, r *http.Request) error {
	return handleRead(w, r, func(ctx context.Context) (any, error) { return s.Backend.Slices(ctx) })
}

func (s *Server) slots(w http.ResponseWriter, r *http.Request) error {
	return handleRead(w, r, func(ctx context.Context) (any, error) { return s.Backend.Slots(ctx) })
}
