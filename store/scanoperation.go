package store

import "endiveroute.example/endive"

// scanOperation is one Scan in flight.
type scanOperation struct {
	client  *Client
	scan    endive.Scan
	deliver func(endive.Event)
}

func (s *scanOperation) run() {
	defer s.client.operations.Done()
	changes, err := s.client.Scan(s.client.ctx, s.scan.Prefix, s.scan.After)
	s.deliver(endive.Scanned{
		Prefix:      s.scan.Prefix,
		After:       s.scan.After,
		Unavailable: err != nil,
		Changes:     changes,
	})
}
