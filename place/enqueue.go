package place

// admit adds a job that was read from the table. If the previous holder may
// have started the job, its tasks are queued only after the takeover, when
// their attempts are known.
func (m *Machine) admit(j *job, fromPrevious bool) {
	m.jobCount++
	j.seq = m.jobCount
	j.team = m.teamOf(j.Team)
	// Share the strings among jobs, and drop the submission key, which isn't needed
	// here, to save memory.
	j.Team, j.Pool, j.Key = j.team.name, m.slice.Pool, ""
	m.jobs[j.ID] = j
	m.updateWaitingCount(j)
	if fromPrevious && !j.NonIdempotent && !m.takeover.done {
		j.awaitsTakeover = true
		m.takeover.heldJobs = append(m.takeover.heldJobs, j)
		return
	}
	m.enqueue(j)
}

// enqueue queues a job if it has a task to start.
func (m *Machine) enqueue(j *job) {
	m.updateWaitingCount(j)
	if j.queued || j.waitingTasks() <= 0 || j.awaitsTakeover {
		return
	}
	j.queued, j.triedAtVersion = true, 0
	m.queue.push(j, shapeKeyOf(j.Need, m.expectedRunTime(j)))
	m.passNeeded = true
}

// updateWaitingCount updates the machine's totals of waiting tasks by what has
// changed for the job.
func (m *Machine) updateWaitingCount(j *job) {
	n := j.waitingTasks()
	delta := n - j.countedWaiting
	if delta == 0 {
		return
	}
	j.countedWaiting = n
	m.waitingTasks += delta
	if j.Need.Accelerators > 0 {
		m.waitingAcceleratorTasks += delta
		if m.waitingAcceleratorTasks == 0 {
			m.capacityChanged()
		}
	}
}

// cancelJob cancels a job. The job ends at once if no attempt is running, and
// otherwise when all attempts have certainly ended.
func (m *Machine) cancelJob(j *job) {
	if j.cancelled || j.ended {
		return
	}
	j.cancelled = true
	j.lastReason = "cancelled"
	m.updateWaitingCount(j)
	m.dropClaims(j)
	for _, a := range j.attemptsInOrder() {
		m.stopAttempt(a, stopCancel)
	}
	m.endJobIfDone(j)
}

// endJobIfDone ends the job if all of its tasks have ended, or if it is
// cancelled and nothing runs.
func (m *Machine) endJobIfDone(j *job) {
	if j.ended || len(j.running) > 0 {
		return
	}
	if !j.cancelled && j.endedTasks() < j.Tasks {
		return
	}
	j.ended, j.delayed = true, nil
	m.updateWaitingCount(j)
	m.dropClaims(j)
	if m.gangReservation != nil && m.gangReservation.job == j {
		m.dropReservation()
	}
	m.recordJob(j)
}
