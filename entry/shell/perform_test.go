package shell

import (
	"io"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/peer"
	"endiveroute.example/endive/wire"
)

// A machine may send a message to its own entry: the notice of a job is sent to
// the holder of the job's slice, which may be the same entry. The message must be
// delivered without a connection.
func TestSendToThisEntryIsDelivered(t *testing.T) {
	is := is.New(t)
	self := endive.Peer{ID: "entry-1"}
	s := &Shell{self: self, waiters: newWaiters()}
	s.mesh = peer.New(self, s, nil, hclog.New(&hclog.LoggerOptions{Output: io.Discard}))
	answers := s.waiters.register(waitKey("jobs", 7))
	s.send(endive.Send{To: "entry-1", Message: &wire.JobsAnswer{Tag: 7}})
	is.Equal(len(answers), 1)
}
