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
	stageStore  stage = "store"
	stageHolder stage = "holder"
	stageAdvice stage = "advice"
	stageRoom   stage = "room"
	stageWork   stage = "work"
	stageWhole  stage = "whole"
)

var stages = []stage{stageStore, stageHolder, stageAdvice, stageRoom, stageWork, stageWhole}

// workflowTimes are the times of one workflow by the logs; zero for those that aren't
// there.
type workflowTimes struct {
	queue     string
	handedIn  time.Time
	stored    time.Time
	takenUp   time.Time
	advised   time.Time
	started   time.Time
	ended     time.Time
	cancelled bool
}

// stageRow is a line of the report.
type stageRow struct {
	Queue string `json:"queue"`
	// From is the beginning of the span in which the workflows were handed in; zero for
	// all.
	From  time.Time `json:"from,omitzero"`
	Stage stage     `json:"stage"`
	Count int       `json:"count"`
	// Half, Most and Slowest are the times in milliseconds within which a half, nine
	// tenths and all of them were through.
	Half    int64 `json:"halfMillis"`
	Most    int64 `json:"mostMillis"`
	Slowest int64 `json:"slowestMillis"`
}

// run implements command.
func (c *logReport) run(_ context.Context, s *session) error {
	lines, unread, err := readLogs(c.files, `"decision"`, func(l logLine) bool { return l.Job != "" })
	if err != nil {
		return err
	}
	if unread > 0 {
		fmt.Fprintf(s.Stderr, "endive: %s could not be read\n", plural(unread, "line"))
	}
	report := stageRows(timesOf(lines), c.every)
	rows := make([]string, 0, len(report))
	for _, row := range report {
		from := "all"
		if !row.From.IsZero() {
			from = row.From.Format("15:04:05.000")
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d", row.Queue, from, row.Stage, row.Count, row.Half, row.Most, row.Slowest))
	}
	return s.show(report, "QUEUE\tFROM\tSTAGE\tCOUNT\tHALF MS\t90% MS\tSLOWEST MS", rows)
}

// timesOf returns the times of each workflow, by its id.
func timesOf(lines []logLine) map[string]*workflowTimes {
	all := make(map[string]*workflowTimes)
	for _, line := range lines {
		if all[line.Job] == nil {
			all[line.Job] = &workflowTimes{}
		}
		all[line.Job].take(line)
	}
	return all
}

// take takes in a decision about the workflow.
func (w *workflowTimes) take(l logLine) {
	switch l.Kind + " " + l.Outcome {
	case "submit accepted":
		if w.stored.IsZero() {
			w.queue, w.stored = l.Queue, l.Time
			w.handedIn = l.Time.Add(-time.Duration(l.Millis) * time.Millisecond)
		}
	case "job taken up":
		setOnce(&w.takenUp, l.Time)
	case "advice taken":
		setOnce(&w.advised, l.Time)
	case "start ordered":
		setOnce(&w.started, l.Time)
	case "job succeeded", "job failed":
		setOnce(&w.ended, l.Time)
	case "job cancelled":
		w.cancelled = true
	}
}

// setOnce keeps the first of several times.
func setOnce(at *time.Time, value time.Time) {
	if at.IsZero() {
		*at = value
	}
}

// spent returns the time that each stage took.
func (w *workflowTimes) spent() map[stage]time.Duration {
	spent := make(map[stage]time.Duration)
	last := w.handedIn
	for _, one := range []struct {
		stage stage
		until time.Time
	}{{stageStore, w.stored}, {stageHolder, w.takenUp}, {stageAdvice, w.advised}, {stageRoom, w.started}, {stageWork, w.ended}} {
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
	if !w.ended.IsZero() {
		spent[stageWhole] = w.ended.Sub(w.handedIn)
	}
	return spent
}

// stageRows returns the report: for each queue, and each span of a length unless it is 0.
func stageRows(all map[string]*workflowTimes, every time.Duration) []stageRow {
	spent := make(map[stageRow][]time.Duration)
	for _, w := range all {
		if w.queue == "" || w.cancelled {
			continue
		}
		for name, took := range w.spent() {
			whole := stageRow{Queue: w.queue, Stage: name}
			spent[whole] = append(spent[whole], took)
			if every > 0 {
				span := stageRow{Queue: w.queue, Stage: name, From: w.handedIn.Truncate(every)}
				spent[span] = append(spent[span], took)
			}
		}
	}
	rows := make([]stageRow, 0, len(spent))
	for row, times := range spent {
		rows = append(rows, row.with(times))
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].before(rows[j]) })
	return rows
}

// with fills in the figures of some times.
func (r stageRow) with(times []time.Duration) stageRow {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Count = len(times)
	r.Half = times[(len(times)-1)/2].Milliseconds()
	r.Most = times[(len(times)-1)*9/10].Milliseconds()
	r.Slowest = times[len(times)-1].Milliseconds()
	return r
}

// before orders the report by queue, span and stage.
func (r stageRow) before(o stageRow) bool {
	if r.Queue != o.Queue {
		return r.Queue < o.Queue
	}
	if !r.From.Equal(o.From) {
		return r.From.Before(o.From)
	}
	return r.Stage.place() < o.Stage.place()
}

// place is the place of a stage among all.
func (s stage) place() int {
	for i, one := range stages {
		if one == s {
			return i
		}
	}
	return len(stages)
}
