package serve

// Counts contains the counts of a server's connections and requests.
type Counts struct {
	Requests int `json:"requests"`
	// CrossRequests counts the requests from another region, CrossBytes the bytes
	// of their bodies and of the bodies of the answers to them.
	CrossRequests   int `json:"crossRequests"`
	CrossBytes      int `json:"crossBytes"`
	Connections     int `json:"connections"`
	MostConnections int `json:"mostConnections"`
	// OverLimit counts the connections that were closed at once because the limit
	// of open connections was exceeded.
	OverLimit int `json:"overLimit,omitempty"`
}

// Add returns the sum of c and o. MostConnections is the larger of both values,
// the peak of one server.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		Requests:        c.Requests + o.Requests,
		CrossRequests:   c.CrossRequests + o.CrossRequests,
		CrossBytes:      c.CrossBytes + o.CrossBytes,
		Connections:     c.Connections + o.Connections,
		MostConnections: max(c.MostConnections, o.MostConnections),
		OverLimit:       c.OverLimit + o.OverLimit,
	}
}
