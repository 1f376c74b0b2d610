package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"endiveroute.example/endive"
)

// WriteTables writes the waiting times, the packing and the control cost of all rates.
func WriteTables(w io.Writer, results []RateResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "waiting, in ms from when a request was due, without its service time; plans: until they were recorded")
	fmt.Fprintln(table, "rate/s\tkind\tsent\tanswered\tnotRun\tunknown\tfailed\twrong\tp50\tp90\tp99\tmost\tlatency p50\tp99\tlate")
	for _, result := range results {
		for _, k := range result.Kinds {
			fmt.Fprintf(table, "%g\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", result.Rate, k.Kind, k.Sent, k.Answered, k.NotRun, k.Unknown,
				k.Failed, k.Wrong, ms(k.Waiting.P50), ms(k.Waiting.P90), ms(k.Waiting.P99), ms(k.Waiting.Max), ms(k.Latency.P50), ms(k.Latency.P99), ms(result.MaxDelay))
		}
	}
	fmt.Fprintln(table, "\npacking, in % of the live workers' size that is committed while tasks wait")
	fmt.Fprintln(table, "rate/s\tpool\tsamples\tof\tmissed\tprocessors\tmemory\taccelerators\tmost\tjobs ended\tfailed\topen")
	for _, result := range results {
		for _, p := range result.Packing {
			fmt.Fprintf(table, "%g\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\n", result.Rate, p.Pool, p.QueuedSamples, p.TotalSamples, result.MissedSamples,
				100*p.Processors, 100*p.Memory, 100*p.Accelerators, 100*p.Max, result.Jobs.Succeeded, result.Jobs.Failed, result.Jobs.Open)
		}
	}
	writeCosts(table, results)
	return table.Flush()
}

// writeCosts writes the control cost of all rates.
func writeCosts(table io.Writer, results []RateResult) {
	fmt.Fprintln(table, "\ncontrol cost, for each second and entry; table calls for all entries together")
	fmt.Fprintln(table, "rate/s\tmessages\tbytes\tbytes between regions\tdecision ms\tprocessor %\tmost MiB\ttable reads/s\twrites/s\tcut, most runs\ttasks started again\tof starts")
	for _, result := range results {
		c := result.Cost
		each := c.Seconds * float64(max(c.Entries, 1))
		fmt.Fprintf(table, "%g\t%.1f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\n", result.Rate, c.PeerMessages/each, c.PeerBytes/each, c.CrossRegionBytes/each,
			1000*c.StepSeconds/each, 100*c.ProcessSeconds/each, c.MaxMemory/float64(endive.MiB), float64(c.TableReads)/c.Seconds, float64(c.TableWrites)/c.Seconds, result.MaxCutRuns, result.RestartedTasks, result.Starts)
		for _, missing := range c.Missing {
			fmt.Fprintf(table, "not read: %s\n", missing)
		}
	}
}

// ms formats an interval in milliseconds.
func ms(i endive.Interval) string {
	return fmt.Sprintf("%.1f", float64(time.Duration(i).Microseconds())/1000)
}
