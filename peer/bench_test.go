package peer

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// frameSignal is an inbox that signals each received message.
type frameSignal chan struct{}

func (a frameSignal) Deliver(endive.EntryID, endive.Incarnation, proto.Message) { a <- struct{}{} }

// newBenchMesh returns a mesh that listens on loopback, its address and its inbox.
func newBenchMesh(b *testing.B, id endive.EntryID) (*Mesh, endive.Peer, frameSignal) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	in := make(frameSignal, 16)
	s := &testPeer{listener: listener, mesh: New(endive.Peer{ID: id, Incarnation: "1"}, in, noMeter{}, hclog.NewNullLogger())}
	b.Cleanup(s.close)
	go s.acceptSessions()
	return s.mesh, s.addressAs(id), in
}

// processTime returns the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFrame sends frames over loopback one at a time and reports the processor time of
// sending and receiving a frame.
func BenchmarkFrame(b *testing.B) {
	for _, slices := range []int{1, 12} {
		beat := &wire.Heartbeat{Sequence: 1, Region: "gogledd", Zone: "gogledd-1"}
		for i := range slices {
			beat.Slices = append(beat.Slices, &wire.SliceLoad{Slice: fmt.Sprint("quoting.gogledd.", i), Epoch: 1, Queued: 100, Free: &wire.ResourceCount{Processors: 1000, Memory: 1 << 40}})
		}
		b.Run(fmt.Sprintf("bytes=%d", proto.Size(wire.Wrap(beat))), func(b *testing.B) {
			from, _, _ := newBenchMesh(b, "entry-1")
			_, to, in := newBenchMesh(b, "entry-2")
			from.SetPeers(endive.Peers{to})
			from.Send("entry-2", beat)
			<-in
			processTimeBefore := processTime(b)
			b.ResetTimer()
			for range b.N {
				from.Send("entry-2", beat)
				<-in
			}
			b.ReportMetric(float64((processTime(b)-processTimeBefore).Nanoseconds())/float64(b.N), "cpu-ns/frame")
		})
	}
}
