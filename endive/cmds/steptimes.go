package cmds

import (
	"strings"
	"time"
)

// Parts of the stage work. Their times are summed over the steps of a workflow. Steps that run
// side by side count each, so the sum can exceed the stage.
const (
	// stageSpread is the time from the first start of a step's tasks to the first start of its
	// last one.
	stageSpread stage = "work.spread"
	// stageAgain is the time from then to the last start of any of its tasks, after runs that
	// failed, were stopped or were lost.
	stageAgain stage = "work.again"
	// stageRun is the time from the last start to the last end.
	stageRun stage = "work.run"
	// stageNext is the time from the end of a step to the first start of the next one.
	stageNext stage = "work.next"
)

// stepTimes holds the times of a step's logged events.
type stepTimes struct {
	firstStart time.Time
	// lastFirstStart is the latest of the first starts of the step's tasks.
	lastFirstStart time.Time
	lastStart      time.Time
	lastEnd        time.Time
	started        map[string]bool
}

// stepOf returns the step that a task belongs to: its id without the task's index.
func stepOf(task string) string {
	if i := strings.LastIndexByte(task, '.'); i >= 0 {
		return task[:i]
	}
	return task
}

// apply records the time of a start or an end.
func (s *stepTimes) apply(l logLine) {
	if l.Kind == "end" {
		s.lastEnd = l.Time
		return
	}
	setOnce(&s.firstStart, l.Time)
	if !s.started[l.Task] {
		s.started[l.Task] = true
		s.lastFirstStart = l.Time
	}
	s.lastStart = l.Time
}

// addWork adds the parts of the stage work to the durations of a workflow's stages.
func (w *workflowTimes) addWork(spent map[stage]time.Duration) {
	var previousEnd time.Time
	for _, id := range w.stepOrder {
		step := w.steps[id]
		if step.firstStart.IsZero() || step.lastEnd.IsZero() {
			continue
		}
		spent[stageSpread] += step.lastFirstStart.Sub(step.firstStart)
		spent[stageAgain] += step.lastStart.Sub(step.lastFirstStart)
		spent[stageRun] += max(0, step.lastEnd.Sub(step.lastStart))
		if !previousEnd.IsZero() {
			spent[stageNext] += max(0, step.firstStart.Sub(previousEnd))
		}
		previousEnd = step.lastEnd
	}
}
