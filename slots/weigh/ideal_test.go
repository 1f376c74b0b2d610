package weigh

import (
	"container/heap"
	"math/rand"
	"time"
)

// ideal is one shared queue in front of all executors; the waits in it are a
// lower bound. The queue has no delay in learning of free slots; requests only
// incur the network latency. It never uses a failing or silent executor, and a
// slow one only if no other has a free slot.
type ideal struct {
	cell   *cell
	queue  []idealRequest
	waits  []time.Duration
	totals []time.Duration
}

type idealRequest struct {
	at    time.Time
	entry int
}

// runIdeal runs the same load on an ideal shared queue.
func runIdeal(seed int64, rate float64, faults func(*cell), d, warm time.Duration) summary {
	c := &cell{random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0)}
	for i := range executors {
		c.hosts = append(c.hosts, &host{location: locations[i%len(locations)]})
	}
	faults(c)
	q := &ideal{cell: c}
	start := c.now.Add(warm)
	end := c.now.Add(warm + d)
	var next func()
	next = func() {
		if c.now.After(end) {
			return
		}
		u, i := c.random.Float64(), 0
		for i < entries-1 && u >= arrivals[i] {
			u -= arrivals[i]
			i++
		}
		q.queue = append(q.queue, idealRequest{c.now, i})
		q.startQueued(start)
		c.schedule(c.now.Add(time.Duration(c.random.ExpFloat64()/rate*1e9)), next)
	}
	next()
	for len(c.events) > 0 {
		h := heap.Pop(&c.events).(event)
		c.now = h.at
		h.action()
	}
	return sortTimes(summary{waits: q.waits, totals: q.totals, sent: len(q.waits), answered: len(q.waits)})
}

// startQueued starts queued requests while slots are free.
func (q *ideal) startQueued(start time.Time) {
	for len(q.queue) > 0 {
		r := q.queue[0]
		from := locations[r.entry%len(locations)]
		var best *host
		var least time.Duration
		for _, h := range q.cell.hosts {
			if h.busy >= slotsEach || h.fault == failing || h.fault == silent {
				continue
			}
			cost := 2 * delay(from, h.location)
			if h.fault == slow {
				cost += (slowdown - 1) * meanService
			}
			if best == nil || cost < least {
				best, least = h, cost
			}
		}
		if best == nil {
			return
		}
		q.queue = q.queue[1:]
		q.start(r, best, 2*delay(from, best.location), start)
	}
}

// start runs a request on an executor.
func (q *ideal) start(r idealRequest, h *host, roundTrip time.Duration, start time.Time) {
	c := q.cell
	h.busy++
	took, _ := c.serve(h)
	if !r.at.Before(start) {
		q.waits = append(q.waits, c.now.Sub(r.at))
		q.totals = append(q.totals, c.now.Add(took+roundTrip).Sub(r.at))
	}
	c.schedule(c.now.Add(took), func() {
		h.busy--
		q.startQueued(start)
	})
}
