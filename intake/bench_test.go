package intake

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// BenchmarkSubmit measures submissions that arrive at random at several rates:
// the time per submission including its commit, and the transactions, rows and
// bytes written. 13,000 jobs a day are 0.15 a second.
func BenchmarkSubmit(b *testing.B) {
	for _, rate := range []float64{0.15, 10, 400, 4000} {
		b.Run(fmt.Sprintf("rate=%g", rate), func(b *testing.B) {
			m, random := newHarness(), rand.New(rand.NewSource(1))
			transactions, written, bytes := 0, 0, 0
			next := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				m.step(Submit{Tag: Tag(i), Job: plan(fmt.Sprint("k", i))})
				wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
				next += wait
				if next < batchDelay && i < b.N-1 {
					m.clock.Advance(wait)
					continue
				}
				for _, txn := range m.flush() {
					transactions++
					written += len(txn.Writes)
					for _, w := range txn.Writes {
						bytes += len(w.Key) + len(w.Value)
					}
					m.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied})
				}
				next = 0
				m.clock.Advance(wait)
				clear(m.answers)
				m.sent, m.fetches = nil, nil
			}
			b.ReportMetric(float64(transactions)/float64(b.N), "transactions/job")
			b.ReportMetric(float64(written)/float64(b.N), "rows/job")
			b.ReportMetric(float64(bytes)/float64(b.N), "rowBytes/job")
		})
	}
}
