package flow

import (
	"cmp"
	"slices"
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
