package cmds

import (
	"context"
	"fmt"
	"sort"
	"time"
)

const logReportHelp = `
Tells where the time of workflows went, for each queue, by the logs of all entries:

  store    from their handing in until they were stored
  holder   until the pool's holder had taken them up
  advice   until the first answer about which workers may run them
  room     until their first task was started
  work     from then until their end was decided on: running, runs that were
           repeated, later steps that waited
  whole    from their handing in until then

Workflows that a caller cancelled are left out. A stage that isn't in the logs, such as
advice where none is needed, counts for nothing.

Examples:

  endive log report entry-*.log
  endive log report --every 5s entry-*.log
  endive log report --json entry-*.log
`

// logReport tells where the time of workflows went.
type logReport struct {
	files []string
	every time.Duration
}

// stage is a part of a workflow's time.
type stage string

// The stages, in their order.
const (
	stageStore    stage = "store"
	stageHolder   stage = "holder"
	stageAdvice   stage = "advice"
	stageCapacity stage = "room"
	stageWork     stage = "work"
	stageTotal    stage = "whole"
)

var stages = []stage{stageStore, stageHolder, stageAdvice, stageCapacity, stageWork, stageTotal}

// workflowTimes are the times of one workflow by the logs; zero for those that aren't
// there.
type workflowTimes struct {
	queue       string
	submittedAt time.Time
	storedAt    time.Time
	acceptedAt  time.Time
	advisedAt   time.Time
	startedAt   time.Time
	endedAt     time.Time
	cancelled   bool
}

// stageRow is a line of the report.
type stageRow struct {
	Queue string `json:"queue"`
	// From is the beginning of the span in which the workflows were handed in; zero for
	// all.
	From  time.Time `json:"from,omitzero"`
	Stage stage     `json:"stage"`
	Count int       `json:"count"`
	// Median, Most and Slowest are the times in milliseconds within which a half, nine
	// tenths and all of them were through.
	Median int64 `json:"halfMillis"`
	P90    int64 `json:"mostMillis"`
	Max    int64 `json:"slowestMillis"`
}

// run implements command.
func (c *logReport) run(_ context.Context, s *session) error {
	lines, unparsed, err := readLogs(c.files, `"decision"`, func(l logLine) bool { return l.Job != "" })
	if err != nil {
		return err
	}
	if unparsed > 0 {
		fmt.Fprintf(s.Stderr, "endive: %s could not be read\n", plural(unparsed, "line"))
	}
	report := stageRows(collectTimes(lines), c.every)
	rows := make([]string, 0, len(report))
	for _, row := range report {
		from := "all"
		if !row.From.IsZero() {
			from = row.From.Format("15:04:05.000")
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d", row.Queue, from, row.Stage, row.Count, row.Median, row.P90, row.Max))
	}
	return s.printTable(report, "QUEUE\tFROM\tSTAGE\tCOUNT\tHALF MS\t90% MS\tSLOWEST MS", rows)
}

// collectTimes returns the times of each workflow, by its id.
func collectTimes(lines []logLine) map[string]*workflowTimes {
	all := make(map[string]*workflowTimes)
	for _, line := range lines {
		if all[line.Job] == nil {
			all[line.Job] = &workflowTimes{}
		}
		all[line.Job].apply(line)
	}
	return all
}

// apply takes in a decision about the workflow.
func (w *workflowTimes) apply(l logLine) {
	switch l.Kind + " " + l.Outcome {
	case "submit accepted":
		if w.storedAt.IsZero() {
			w.queue, w.storedAt = l.Queue, l.Time
			w.submittedAt = l.Time.Add(-time.Duration(l.Millis) * time.Millisecond)
		}
	case "job taken up":
		setOnce(&w.acceptedAt, l.Time)
	case "advice taken":
		setOnce(&w.advisedAt, l.Time)
	case "start ordered":
		setOnce(&w.startedAt, l.Time)
	case "job succeeded", "job failed":
		setOnce(&w.endedAt, l.Time)
	case "job cancelled":
		w.cancelled = true
	}
}

// setOnce keeps the first of several times.
func setOnce(target *time.Time, value time.Time) {
	if target.IsZero() {
		*target = value
	}
}

// stageDurations returns the time that each stage took.
func (w *workflowTimes) stageDurations() map[stage]time.Duration {
	spent := make(map[stage]time.Duration)
	last := w.submittedAt
	for _, one := range []struct {
		stage stage
		until time.Time
	}{{stageStore, w.storedAt}, {stageHolder, w.acceptedAt}, {stageAdvice, w.advisedAt}, {stageCapacity, w.startedAt}, {stageWork, w.endedAt}} {
		if one.until.IsZero() {
			continue
		}
		// What comes earlier than expected, such as advice before the workflow itself,
		// has taken no time.
		spent[one.stage] = max(0, one.until.Sub(last))
		if one.until.After(last) {
			last = one.until
		}
	}
	if !w.endedAt.IsZero() {
		spent[stageTotal] = w.endedAt.Sub(w.submittedAt)
	}
	return spent
}

// stageRows returns the report: for each queue, and each span of a length unless it is 0.
func stageRows(all map[string]*workflowTimes, every time.Duration) []stageRow {
	durations := make(map[stageRow][]time.Duration)
	for _, w := range all {
		if w.queue == "" || w.cancelled {
			continue
		}
		for name, took := range w.stageDurations() {
			whole := stageRow{Queue: w.queue, Stage: name}
			durations[whole] = append(durations[whole], took)
			if every > 0 {
				span := stageRow{Queue: w.queue, Stage: name, From: w.submittedAt.Truncate(every)}
				durations[span] = append(durations[span], took)
			}
		}
	}
	rows := make([]stageRow, 0, len(durations))
	for row, times := range durations {
		rows = append(rows, row.withDurations(times))
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].less(rows[j]) })
	return rows
}

// withDurations fills in the figures of some times.
func (r stageRow) withDurations(times []time.Duration) stageRow {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Count = len(times)
	r.Median = times[(len(times)-1)/2].Milliseconds()
	r.P90 = times[(len(times)-1)*9/10].Milliseconds()
	r.Max = times[len(times)-1].Milliseconds()
	return r
}

// less orders the report by queue, span and stage.
func (r stageRow) less(o stageRow) bool {
	if r.Queue != o.Queue {
		return r.Queue < o.Queue
	}
	if !r.From.Equal(o.From) {
		return r.From.Before(o.From)
	}
	return r.Stage.index() < o.Stage.index()
}

// index is the index of a stage among all.
func (s stage) index() int {
	for i, one := range stages {
		if one == s {
			return i
		}
	}
	return len(stages)
}
