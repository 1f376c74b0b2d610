package place

import (
	"fmt"
	"sort"

	"endiveroute.example/endive"
)

// claim is capacity on a worker that is kept for a task of an urgent job, for
// which other tasks were preempted.
type claim struct {
	worker *worker
	need   endive.Resources
}

// preempt frees capacity for the waiting tasks of an urgent job by stopping
// tasks of lower priority.
func (m *Machine) preempt(j *job, s *shape) {
	pool, ok := m.config.Pool(m.slice.Pool)
	if j.Priority < endive.PriorityUrgent || !ok || !pool.Preemption || s.preemptFailedVersion == m.preemptibleVersion {
		return
	}
	m.dropClaimsWhere(j, func(w *worker) bool { return !w.acceptsTasks(m.now) })
	for len(j.claims) < min(j.waitingTasks(), maxClaims) {
		if !j.team.withinQuota(j.Need.Times(int64(len(j.claims) + 1))) {
			return
		}
		if !m.claimCapacity(j) {
			s.preemptFailedVersion = m.preemptibleVersion
			return
		}
	}
}

// preemptForGang claims capacity for all tasks of an urgent gang, or stops no
// task. It reports whether the gang has all of its claims.
func (m *Machine) preemptForGang(j *job, want int) bool {
	pool, ok := m.config.Pool(m.slice.Pool)
	if j.Priority < endive.PriorityUrgent || !ok || !pool.Preemption {
		return false
	}
	m.dropClaimsWhere(j, func(w *worker) bool { return !w.acceptsTasks(m.now) })
	available := len(j.claims)
	for _, w := range m.workers.list {
		if w.acceptsTasks(m.now) && m.reservedFor(w, j) {
			available += m.freeAfterPreemption(j, w).FitCount(j.Need, want)
		}
	}
	if available < want {
		return false
	}
	for len(j.claims) < want {
		if !m.claimCapacity(j) {
			return false
		}
	}
	return true
}

// freeAfterPreemption returns the worker's free capacity if all tasks that the
// job may preempt were stopped.
func (m *Machine) freeAfterPreemption(j *job, w *worker) endive.Resources {
	free := w.free().Add(w.preempting).Sub(w.claimed)
	for _, a := range w.attempts {
		if m.preemptible(a, j) {
			free = free.Add(a.need)
		}
	}
	return free
}

// claimedOn returns the capacity that the job has claimed on a worker.
func (j *job) claimedOn(w *worker) endive.Resources {
	var sum endive.Resources
	for _, c := range j.claims {
		if c.worker == w {
			sum = sum.Add(c.need)
		}
	}
	return sum
}

// claimCapacity claims capacity for one task on the worker where preemption
// loses the least, and stops the victims. It reports whether there is such a
// worker.
func (m *Machine) claimCapacity(j *job) bool {
	var best *worker
	var stops []*attempt
	leastLoss := 0.0
	for _, w := range m.workers.list {
		if !w.acceptsTasks(m.now) || !j.Need.Fits(w.size) || !m.reservedFor(w, j) {
			continue
		}
		victims, loss, ok := m.victims(j, w)
		if ok && (best == nil || loss < leastLoss) {
			best, stops, leastLoss = w, victims, loss
		}
	}
	if best == nil {
		return false
	}
	best.claimed = best.claimed.Add(j.Need)
	j.claims = append(j.claims, claim{worker: best, need: j.Need})
	for _, a := range stops {
		m.logDecision(endive.DecisionPreempt, string(a.task), string(best.id),
			fmt.Sprintf("preempted for urgent job %s; priority %d", j.ID, a.job.Priority))
		m.stopAttempt(a, stopPreempt)
	}
	return true
}

// victims returns the tasks to preempt on a worker and the total loss. For a
// task without checkpoints, the loss includes the time that it has run.
func (m *Machine) victims(j *job, w *worker) ([]*attempt, float64, bool) {
	free := w.free().Add(w.preempting).Sub(w.claimed)
	if j.Need.Fits(free) {
		return nil, 0, true
	}
	var candidates []*attempt
	for _, a := range w.attempts {
		if m.preemptible(a, j) {
			candidates = append(candidates, a)
		}
	}
	sort.SliceStable(candidates, func(i, k int) bool { return m.preemptionLoss(candidates[i]) < m.preemptionLoss(candidates[k]) })
	var chosen []*attempt
	total := 0.0
	for _, a := range candidates {
		free = free.Add(a.need)
		chosen = append(chosen, a)
		total += m.preemptionLoss(a)
		if j.Need.Fits(free) {
			return chosen, total, true
		}
	}
	return nil, 0, false
}

// preemptible reports whether the job may preempt the attempt. Watchers have to
// keep running, and a non-idempotent task can't be started again.
func (m *Machine) preemptible(a *attempt, j *job) bool {
	return a.job != nil && a.stopReason == stopNone && a.state >= attemptSent &&
		a.job.Priority < j.Priority && !a.job.NonIdempotent && a.job.Kind != endive.KindWatcher
}

// Weights of the loss by preemption.
const (
	priorityLoss   = 1e6
	stopLoss       = 1e3
	checkpointLoss = 1
)

// preemptionLoss returns how much is lost if the attempt is preempted.
func (m *Machine) preemptionLoss(a *attempt) float64 {
	loss := priorityLoss * float64(a.job.Priority+1)
	if a.job.Kind == endive.KindGang {
		loss *= float64(len(a.job.running))
	}
	if a.job.Checkpoints {
		return loss + checkpointLoss
	}
	return loss + stopLoss + m.now.Sub(a.startedAt).Seconds()
}

// releaseUsedClaim releases one claim of the job when one of its tasks is
// placed, on the task's worker if the job has a claim on that worker.
func (m *Machine) releaseUsedClaim(j *job, w *worker) {
	if len(j.claims) == 0 {
		return
	}
	used := 0
	for i, c := range j.claims {
		if c.worker == w {
			used = i
			break
		}
	}
	c := j.claims[used]
	c.worker.claimed = c.worker.claimed.Sub(c.need)
	if c.worker != w {
		m.capacityFreed(c.worker)
	}
	j.claims = append(j.claims[:used], j.claims[used+1:]...)
}

// dropClaims releases all claims of a job.
func (m *Machine) dropClaims(j *job) {
	m.dropClaimsWhere(j, func(*worker) bool { return true })
}

// dropClaimsWhere releases the job's claims on the workers that drop selects.
func (m *Machine) dropClaimsWhere(j *job, drop func(w *worker) bool) {
	rest := j.claims[:0]
	for _, c := range j.claims {
		if !drop(c.worker) {
			rest = append(rest, c)
			continue
		}
		c.worker.claimed = c.worker.claimed.Sub(c.need)
		m.preemptibleVersion++
		m.capacityFreed(c.worker)
	}
	j.claims = rest
}
