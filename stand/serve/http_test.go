package serve

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/fault"
)

func TestCrossRegion(t *testing.T) {
	is := is.New(t)
	faults := fault.NewSet(fault.Fault{Kind: fault.Link, Delay: 30}, fault.Fault{Kind: fault.LinkCut, Region: "gogledd"})
	s := &Server{faults: faults, target: fault.Target{Part: fault.Table, Region: "gogledd"}}
	other := &Server{faults: faults, target: fault.Target{Part: fault.Executor, Region: "de"}}
	for _, from := range []string{"", "gogledd", "de"} {
		header := make(http.Header)
		header.Set(rest.HeaderRegion, from)
		request := Request{Header: header, Body: []byte("12345")}
		s.countRequest(request, Answer{Body: []byte("678")})
		_, cut := s.cutFault(header)
		is.Equal(cut, from == "de")
		is.Equal(s.linkDelay(request) != 0, from == "de")
		_, cut = other.cutFault(header)
		is.True(!cut) // fault linkCut is limited to region gogledd
	}
	is.Equal(s.counts, Counts{Requests: 3, CrossRequests: 1, CrossBytes: 8})
}
