package weigh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/route"
)

// TestOwnersChange checks that no executor runs more requests than it has
// slots. The test stops one entry as planned and starts another one under load,
// while 2% of the messages are lost and the entries receive the members lists
// at different times.
func TestOwnersChange(t *testing.T) {
	is := is.New(t)
	c := newCell(*seed, newOwners)
	c.lossRate = 0.02
	rate := 0.7 * c.capacity()
	c.load(rate, 2*time.Second)
	since := c.now

	c.view.Peers = append(endive.Peers{}, c.view.Peers...)
	c.view.Peers[3].State = endive.MemberLeaving
	c.distributeView()
	c.step(c.entries[3], route.Drain{})
	c.redirects = map[int]int{3: 4}
	c.load(rate, 2*time.Second)

	place := locations[1]
	c.view.Peers = append(endive.Peers{}, c.view.Peers...)
	c.view.Peers = append(c.view.Peers, endive.Peer{
		ID: "e7", Incarnation: "1", Region: place.Region, Zone: place.Zone, State: endive.MemberLive, Ready: true,
	})
	c.startEntry(c.view.Peers[entries], newOwners)
	c.distributeView()
	c.redirects = map[int]int{3: entries}
	c.load(rate, 4*time.Second)
	until := c.now
	c.run(2 * timeout)

	f := c.summarize(since, until)
	t.Logf("%d requests, %d not run, %d unknown; total p99 %.0f ms", f.sent, f.notRun, f.unknown, quantile(f.totals, 0.99))
	is.True(c.mostBusy() <= slotsEach) // slots used at once
	is.Equal(f.noRetryAt, 0)           // refusals without a time to retry
}

// distributeView sends the members list to each entry after a random delay of
// up to a second.
func (c *cell) distributeView() {
	view := c.view
	for i, n := range c.entries {
		view.Self = view.Peers[i]
		seen := view
		c.schedule(c.now.Add(time.Duration(c.random.Float64()*float64(time.Second))), func() { c.step(n, seen) })
	}
}
