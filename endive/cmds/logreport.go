package cmds

import (
	"context"
	"fmt"
	"sort"
	"time"
)

const logReportHelp = `
Shows how long workflows spent in each stage, for each queue, from the logs of all
entries:

  store    from submission until the workflow was stored
  holder   until the pool's holder accepted it
  advice   until the first advice on which workers may run it
  room     until its first task was started
  work     from then until the workflow ended, and of that, summed over its steps:
           work.spread  from a step's first task to the start of its last one
           work.again   until the last task was started again, after a run that
                        failed, was stopped or was lost
           work.run     from the last start to the last end
           work.next    from a step's end to the first start of the next one
  held     from the first wait for the account's cap to the first start after it
  whole    from submission until the workflow ended

Cancelled workflows are left out. Stages that aren't in the logs, such as advice
where none is needed, aren't counted.

Examples:

  endive log report entry-*.log
  endive log report --every 5s entry-*.log
  endive log report --json entry-*.log
`

// logReport is the command that shows how long workflows spent in each stage.
type logReport struct {
	files []string
	// every is the length of the intervals to report separately; 0 for none.
	every time.Duration
}

// stage is a phase of a workflow between two logged events.
type stage string

// The stages in the order in which a workflow passes them. stageTotal spans all of them.
const (
	stageStore    stage = "store"
	stageHolder   stage = "holder"
	stageAdvice   stage = "advice"
	stageCapacity stage = "room"
	stageWork     stage = "work"
	stageTotal    stage = "whole"
	// stageHeld is the wait for the account's cap; it is part of the others.
	stageHeld stage = "held"
)

var stages = []stage{
	stageStore, stageHolder, stageAdvice, stageCapacity, stageHeld, stageWork, stageSpread, stageAgain, stageRun, stageNext, stageTotal,
}

// workflowTimes holds the times of a workflow's logged events; zero for events that
// aren't in the logs.
type workflowTimes struct {
	queue       string
	submittedAt time.Time
	storedAt    time.Time
	acceptedAt  time.Time
	advisedAt   time.Time
	startedAt   time.Time
	endedAt     time.Time
	cancelled   bool
	// heldSince is when the workflow began to wait for its account's cap; zero if it doesn't. held
	// is the sum of these waits.
	heldSince time.Time
	held      time.Duration
	// steps are the times of the steps by their ids, and stepOrder the ids in the order of their
	// first starts.
	steps     map[string]*stepTimes
	stepOrder []string
}

// stageRow is a row of the report.
type stageRow struct {
	Queue string `json:"queue"`
	// From is the start of the interval in which the workflows were submitted; zero for
	// all workflows.
	From  time.Time `json:"from,omitzero"`
	Stage stage     `json:"stage"`
	Count int       `json:"count"`
	// Median, P90 and Max are the median, the 90th percentile and the maximum of the
	// stage's duration, in milliseconds.
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

// collectTimes returns the times of each workflow by its id.
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

// apply records the time of a decision about the workflow.
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
	case "job waits for its account's cap":
		setOnce(&w.heldSince, l.Time)
	case "start ordered":
		setOnce(&w.startedAt, l.Time)
		w.endWait(l.Time)
		w.step(l.Task).apply(l)
	case "job succeeded", "job failed":
		setOnce(&w.endedAt, l.Time)
	case "job cancelled":
		w.cancelled = true
	}
	if l.Kind == "end" {
		w.step(l.Task).apply(l)
	}
}

// endWait ends a wait for the account's cap.
func (w *workflowTimes) endWait(at time.Time) {
	if !w.heldSince.IsZero() {
		w.held += at.Sub(w.heldSince)
		w.heldSince = time.Time{}
	}
}

// step returns the times of a task's step.
func (w *workflowTimes) step(task string) *stepTimes {
	id := stepOf(task)
	if w.steps[id] == nil {
		if w.steps == nil {
			w.steps = make(map[string]*stepTimes)
		}
		w.steps[id] = &stepTimes{started: make(map[string]bool)}
		w.stepOrder = append(w.stepOrder, id)
	}
	return w.steps[id]
}

// setOnce sets target to value unless it is already set.
func setOnce(target *time.Time, value time.Time) {
	if target.IsZero() {
		*target = value
	}
}

// stageDurations returns the duration of each stage that is in the logs.
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
		// An event may precede the event of the stage before, such as advice that comes
		// before the holder accepts the workflow. Its stage has the duration 0.
		spent[one.stage] = max(0, one.until.Sub(last))
		if one.until.After(last) {
			last = one.until
		}
	}
	if !w.endedAt.IsZero() {
		spent[stageTotal] = w.endedAt.Sub(w.submittedAt)
		w.addWork(spent)
	}
	if w.held > 0 {
		spent[stageHeld] = w.held
	}
	return spent
}

// stageRows returns the rows of the report: for each queue, and also for each
// interval of length every unless that is 0.
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

// withDurations returns the row with the count, median, 90th percentile and
// maximum of times. It sorts times.
func (r stageRow) withDurations(times []time.Duration) stageRow {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Count = len(times)
	r.Median = times[(len(times)-1)/2].Milliseconds()
	r.P90 = times[(len(times)-1)*9/10].Milliseconds()
	r.Max = times[len(times)-1].Milliseconds()
	return r
}

// less reports whether the row sorts before another one: by queue, interval and
// stage.
func (r stageRow) less(o stageRow) bool {
	if r.Queue != o.Queue {
		return r.Queue < o.Queue
	}
	if !r.From.Equal(o.From) {
		return r.From.Before(o.From)
	}
	return r.Stage.index() < o.Stage.index()
}

// index returns the position of the stage in stages.
func (s stage) index() int {
	for i, one := range stages {
		if one == s {
			return i
		}
	}
	return len(stages)
}
