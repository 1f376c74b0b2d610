package launch_test

import (
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/exec"
	"endiveroute.example/endive/stand/cell"
	"endiveroute.example/endive/stand/launch"
)

// BenchmarkExecutorsCall measures one attempt over a TCP connection, including the
// work of the simulated executor.
func BenchmarkExecutorsCall(b *testing.B) {
	c, err := cell.Load(cell.Demo)
	if err != nil {
		b.Fatal(err)
	}
	var a launch.Addresses
	a.Defaults()
	p, err := launch.New(c, a, endive.SystemClock{})
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close(time.Now())
	client := exec.New(connectionSettings(), endive.SystemClock{}, "gogledd")
	call := newCall(p, "asked", "asked.1")
	call.Body = []byte("time=0s a question")
	b.ReportAllocs()
	for b.Loop() {
		if reply := client.Call(b.Context(), call); reply.Outcome != endive.Answered {
			b.Fatal(reply.Reason)
		}
	}
}
