package proc

import (
	"context"
	"fmt"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
	"endiveroute.example/endive/stand/fault"
)

// client returns a client that sends requests to the given entries.
func (c *cluster) client(entries ...int) *client.Client {
	var addresses []endive.Address
	for _, i := range entries {
		addresses = append(addresses, endive.Address(c.entries[i].operatorAddress))
	}
	cl := client.New(endive.SystemClock{}, addresses...)
	c.t.Cleanup(cl.Close)
	return cl
}

// eventually waits until done returns true, and fails the test after testTimeout.
func (c *cluster) eventually(event string, done func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", event)
		}
		<-time.After(checkInterval)
	}
}

// waitReady waits until each of the entries lists at least as many ready, live
// entries as were given.
func (c *cluster) waitReady(entries ...int) {
	c.t.Helper()
	for _, i := range entries {
		cl := c.client(i)
		c.eventually(fmt.Sprintf("entry-%d is ready", i+1), func() bool {
			list, err := cl.Entries(c.context(time.Second))
			if err != nil {
				return false
			}
			ready := 0
			for _, e := range list.Entries {
				if e.Ready && e.State == endive.MemberLive {
					ready++
				}
			}
			return ready >= len(entries)
		})
	}
}

// context returns a context that ends after d or at the end of the test.
func (c *cluster) context(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.t.Cleanup(cancel)
	return ctx
}

// switchFault switches a fault of the simulated services on or off.
func (c *cluster) switchFault(f fault.Fault, on bool) {
	c.platform.Faults().Switch(fault.Switch{Fault: f, On: on})
}

// applyTicket applies a ticket, and fails the test if it doesn't come into force.
func (c *cluster) applyTicket(ticket endive.Ticket) {
	c.t.Helper()
	ticket.Defaults()
	status, err := c.client(0, 1, 2).Apply(c.context(testTimeout), ticket, time.Now().Add(testTimeout/2))
	if err != nil || status.State != apiv1.TicketInForce {
		c.t.Fatalf("ticket %d: %+v, %v", ticket.Number, status, err)
	}
}

// applyFirstTicket applies the ticket with the services, pools and teams that all
// tests use.
func (c *cluster) applyFirstTicket() {
	c.t.Helper()
	c.applyTicket(endive.Ticket{
		Number:   1,
		Services: endive.Services{{Name: "quote"}, {Name: "cut", NonIdempotent: true, Timeout: endive.Interval(5 * time.Second)}},
		Pools:    endive.Pools{{Name: "quoting"}, {Name: "planner"}},
		Teams:    endive.Teams{{Name: "workshop"}},
	})
}

// submit submits a job, and retries with the same idempotency key until a client
// receives the confirmation that it was accepted.
func (c *cluster) submit(job endive.Job, entries ...int) endive.JobID {
	c.t.Helper()
	job.Team, job.Pool = "workshop", "quoting"
	if job.Need == (endive.Resources{}) {
		job.Need = endive.Resources{Processors: 4000, Memory: 4 * endive.GiB}
	}
	job.Key = endive.IdempotencyKey(job.Name)
	job.Defaults()
	cl := c.client(entries...)
	var id endive.JobID
	c.eventually("job "+string(job.Name)+" is accepted", func() bool {
		status, err := cl.Submit(c.context(15*time.Second), job)
		id = status.Job.ID
		return err == nil
	})
	return id
}

// holder returns the index of the entry that holds a slice, as listed by the
// queried entry.
func (c *cluster) holder(slice endive.SliceID, queried int) int {
	c.t.Helper()
	cl, holder := c.client(queried), -1
	c.eventually("slice "+string(slice)+" has a holder", func() bool {
		list, err := cl.Slices(c.context(time.Second))
		if err != nil {
			return false
		}
		for _, s := range list.Slices {
			if s.ID == slice && s.Holder != "" {
				_, _ = fmt.Sscanf(string(s.Holder), "entry-%d", &holder)
				holder--
			}
		}
		return holder >= 0
	})
	return holder
}

// succeeded returns the number of attempts that have succeeded.
func (c *cluster) succeeded() int { return c.platform.Counts(false).Workers.Ends[endive.TaskSucceeded] }

// startClusterWithPlans starts a cluster, submits the plans job and more jobs, and
// waits until some tasks have succeeded.
func startClusterWithPlans(t *testing.T, more ...endive.Job) *cluster {
	t.Helper()
	c := startCluster(t)
	c.applyFirstTicket()
	for _, job := range append([]endive.Job{plansJob(false)}, more...) {
		c.submit(job, 0, 1, 2)
	}
	c.eventually("some plans ended", func() bool { return c.succeeded() >= 5 })
	return c
}
