package place

import (
	"sort"

	"endiveroute.example/endive"
)

// queue holds the jobs with tasks to start, by priority, shape and team, and in
// the order of arrival. A job without such tasks is removed only when the job
// reaches the head of its queue.
type queue struct {
	// levels are sorted by falling priority.
	levels []*priorityLevel
	shapes map[shapeKey]*shape
	// shapeList lists the shapes in the order in which they were added.
	shapeList []*shape
}

// priorityLevel holds the jobs of one priority. Gangs have a list of their own.
type priorityLevel struct {
	priority     endive.Priority
	shapeQueues  []*shapeQueue
	queueByShape map[*shape]*shapeQueue
	gangs        []*job
}

// shapeQueue holds the jobs of one priority and shape.
type shapeQueue struct {
	shape       *shape
	teamQueues  []*teamQueue
	queueByTeam map[*team]*teamQueue
}

// teamQueue holds the jobs of one priority, shape and team.
type teamQueue struct {
	team *team
	jobs []*job
}

func newQueue() queue { return queue{shapes: make(map[shapeKey]*shape)} }

// level returns the level of a priority. It adds the level if needed.
func (q *queue) level(p endive.Priority) *priorityLevel {
	i := sort.Search(len(q.levels), func(i int) bool { return q.levels[i].priority <= p })
	if i < len(q.levels) && q.levels[i].priority == p {
		return q.levels[i]
	}
	l := &priorityLevel{priority: p, queueByShape: make(map[*shape]*shapeQueue)}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = l
	return l
}

// push adds a job at the end of its team's queue.
func (q *queue) push(j *job, key shapeKey) {
	l := q.level(j.Priority)
	if j.Kind == endive.KindGang {
		l.gangs = append(l.gangs, j)
		return
	}
	s, ok := q.shapes[key]
	if !ok {
		s = &shape{key: key, minNeed: j.Need}
		q.shapes[key] = s
		q.shapeList = append(q.shapeList, s)
	}
	s.include(j.Need)
	target := l.shapeQueue(s).teamQueue(j.team)
	target.jobs = append(target.jobs, j)
	if s.blocked && j.Priority > s.blockedAt {
		s.blocked = false
	}
}

// shapeQueue returns the queue of a shape. It adds the queue if needed.
func (l *priorityLevel) shapeQueue(s *shape) *shapeQueue {
	c, ok := l.queueByShape[s]
	if !ok {
		c = &shapeQueue{shape: s, queueByTeam: make(map[*team]*teamQueue)}
		l.queueByShape[s] = c
		l.shapeQueues = append(l.shapeQueues, c)
	}
	return c
}

// teamQueue returns the queue of a team. It adds the queue if needed.
func (c *shapeQueue) teamQueue(t *team) *teamQueue {
	q, ok := c.queueByTeam[t]
	if !ok {
		q = &teamQueue{team: t}
		c.queueByTeam[t] = q
		c.teamQueues = append(c.teamQueues, q)
	}
	return q
}

// head returns the first job with a task to start, or nil. It removes the jobs
// before that one.
func (n *teamQueue) head() *job {
	for len(n.jobs) > 0 {
		j := n.jobs[0]
		if j.waitingTasks() > 0 {
			return j
		}
		j.queued = false
		n.jobs[0] = nil
		n.jobs = n.jobs[1:]
	}
	n.jobs = nil
	return nil
}

// chooseJob returns the job to place next and its queue: of the jobs of the
// team with the lowest dominant share, the first according to precedes.
func (l *priorityLevel) chooseJob(ranks ranking) (*job, *shapeQueue) {
	var best *job
	var in *shapeQueue
	for _, c := range l.shapeQueues {
		if len(c.teamQueues) == 0 || c.shape.blocks(l.priority) {
			continue
		}
		below := len(ranks)
		if best != nil {
			below = best.team.rank + 1
		}
		j := c.firstByRank(ranks, below)
		if j != nil && (best == nil || j.team != best.team || c.precedes(j, in, best)) {
			best, in = j, c
		}
	}
	return best, in
}

// precedes reports whether a job is placed before another job of the same team.
// The job with the shorter expected run time is placed first; of equal ones,
// the older job.
func (c *shapeQueue) precedes(j *job, in *shapeQueue, other *job) bool {
	if c.shape.key.runTimeClass != in.shape.key.runTimeClass {
		return c.shape.key.runTimeClass < in.shape.key.runTimeClass
	}
	return j.seq < other.seq
}

// firstByRank returns the first job of the team with the lowest rank below a
// bound, or nil. It searches the queues or the ranking, whichever costs less.
func (c *shapeQueue) firstByRank(ranks ranking, below int) *job {
	if len(c.teamQueues)*len(c.teamQueues) > teamQueueCost*below {
		for _, t := range ranks[:below] {
			if n := c.queueByTeam[t]; n != nil {
				if j := c.firstWithinQuota(n); j != nil {
					return j
				}
			}
		}
		return nil
	}
	var best *job
	for i := len(c.teamQueues) - 1; i >= 0; i-- {
		n := c.teamQueues[i]
		if n.team.rank >= below {
			continue
		}
		if j := c.firstWithinQuota(n); j != nil {
			best, below = j, n.team.rank
		}
	}
	return best
}

// firstWithinQuota returns the first job of a team's queue, or nil if the
// team's quota doesn't allow another task of it. It removes an empty queue.
func (c *shapeQueue) firstWithinQuota(q *teamQueue) *job {
	j := q.head()
	if j == nil {
		c.removeTeamQueue(q)
		return nil
	}
	if !q.team.withinQuota(j.Need) {
		return nil
	}
	return j
}

func (c *shapeQueue) removeTeamQueue(q *teamQueue) {
	delete(c.queueByTeam, q.team)
	for i, other := range c.teamQueues {
		if other == q {
			c.teamQueues = append(c.teamQueues[:i], c.teamQueues[i+1:]...)
			return
		}
	}
}

// unblockAll unblocks all shapes.
func (q *queue) unblockAll() {
	for _, s := range q.shapeList {
		s.blocked = false
	}
}

// unblockFitting unblocks the shapes whose tasks may fit into the free capacity
// and need at least the given number of accelerators.
func (q *queue) unblockFitting(free endive.Resources, accelerators endive.Accelerators) {
	for _, s := range q.shapeList {
		if s.blocked && s.minNeed.Accelerators >= accelerators && s.minNeed.Fits(free) {
			s.blocked = false
		}
	}
}
