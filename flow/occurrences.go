package flow

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// activePosition returns where an occurrence is or belongs among the active ones, and whether it is there.
func (j *job) activePosition(occ *occurrence) (at int, found bool) {
	return slices.BinarySearchFunc(j.active, occ.number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// activate inserts a new occurrence into the active ones.
func (j *job) activate(occ *occurrence) {
	at, _ := j.activePosition(occ)
	j.active = slices.Insert(j.active, at, occ)
	for _, s := range occ.steps {
		j.unfinished += s.unfinished
	}
}

// deactivate removes an occurrence whose success is recorded from the active ones.
func (j *job) deactivate(occ *occurrence) {
	if at, found := j.activePosition(occ); found {
		j.active = slices.Delete(j.active, at, at+1)
	}
}

// maxOpenTasks is the number of unfinished tasks of a scheduled job above which no further occurrence is
// created, so that a job with many overdue occurrences doesn't take all memory and each scheduling pass
// stays short.
const maxOpenTasks = 5000

// mayAddOccurrence reports whether a scheduled job has another occurrence that may be created once it is
// due.
func (j *job) mayAddOccurrence() bool {
	return !j.state.Ended() && j.nextOccurrence < j.spec.Schedule.Count() && j.unfinished < maxOpenTasks
}

// addDueOccurrences creates the occurrences that are due.
func (m *Machine) addDueOccurrences() {
	for _, j := range m.scheduled {
		for j.mayAddOccurrence() && !m.now.Before(j.spec.Schedule.Due(j.nextOccurrence)) {
			if j.occurrences[j.nextOccurrence] == nil {
				m.addOccurrence(j, j.nextOccurrence)
			}
			j.nextOccurrence++
			m.passDue = true
		}
	}
}

// nextOccurrenceDue returns when the next occurrence of any scheduled job is due.
func (m *Machine) nextOccurrenceDue() time.Time {
	var next time.Time
	for _, j := range m.scheduled {
		if j.mayAddOccurrence() {
			next = endive.Earliest(next, j.spec.Schedule.Due(j.nextOccurrence))
		}
	}
	return next
}

// reportedTask returns the task of a run that a worker reports; nil if there is no such task. The run may be
// of an occurrence that an earlier holder has begun and that isn't due by this holder's clock.
func (m *Machine) reportedTask(id endive.TaskID) *task {
	if m.tasks[id] == nil {
		m.addBegunOccurrence(id)
	}
	return m.tasks[id]
}

// addBegunOccurrence creates the occurrence of a task that an earlier holder has started.
func (m *Machine) addBegunOccurrence(id endive.TaskID) {
	name, rest, _ := strings.Cut(string(id), ".")
	j := m.scheduled[endive.JobID(name)]
	if j == nil || !j.inherited || j.state.Ended() {
		return
	}
	number, ok := j.occurrenceOf(rest)
	if !ok || j.occurrences[number] != nil {
		return
	}
	m.addOccurrence(j, number)
	m.passDue = true
}

// occurrenceOf returns the occurrence of a task, by the last three parts of its id, and whether the job has
// such a task.
func (j *job) occurrenceOf(task string) (number int, ok bool) {
	parts := strings.Split(task, ".")
	limits := []int{j.spec.Schedule.Count(), len(j.spec.Steps), math.MaxInt}
	if len(parts) != len(limits) {
		return 0, false
	}
	numbers := make([]int, len(parts))
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 || n >= limits[i] {
			return 0, false
		}
		numbers[i] = n
	}
	return numbers[0], numbers[2] < j.spec.Steps[numbers[1]].Tasks
}
