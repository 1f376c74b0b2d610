package store

import "endiveroute.example/endive"

// fetchOperation is one Fetch in flight.
type fetchOperation struct {
	client  *Client
	fetch   endive.Fetch
	deliver func(endive.Event)
}

func (f *fetchOperation) run() {
	defer f.client.operations.Done()
	rows, err := f.client.Read(f.client.ctx, f.fetch.Keys...)
	f.deliver(endive.Fetched{Keys: f.fetch.Keys, Unavailable: err != nil, Rows: rows})
}
