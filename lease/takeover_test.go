package lease

import (
	"fmt"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// BenchmarkTakeover measures, in virtual time, how long a slice has no holder after the
// holder's process has ended, and how many transactions the leases cause.
func BenchmarkTakeover(b *testing.B) {
	for _, lease := range []endive.Interval{endive.Interval(3 * time.Second), DefaultLease, 2 * DefaultLease} {
		b.Run(fmt.Sprintf("lease=%s", lease), func(b *testing.B) {
			var vacancy time.Duration
			var writes float64
			for i := range b.N {
				g := newGroupWith(b, int64(i), 4, Settings{Lease: lease, Renewal: lease / 3})
				g.Run(20 * time.Second)
				before := g.Table.Revision()
				g.Run(30 * time.Second)
				writes += float64(g.Table.Revision()-before) / 30
				g.node(g.holders(sliceIDs[0])[0]).Up = false
				crashedAt := g.Now()
				for len(g.holders(sliceIDs[0])) == 0 {
					g.Run(50 * time.Millisecond)
				}
				vacancy += g.Now().Sub(crashedAt)
			}
			b.ReportMetric(vacancy.Seconds()/float64(b.N), "s/takeover")
			b.ReportMetric(writes/float64(b.N), "transactions/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
