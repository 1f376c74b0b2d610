package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"endiveroute.example/endive/platform/stand"
)

const (
	// requestTimeout bounds one call of a client.
	requestTimeout = 3 * time.Second
	// submitInterval lies between two submissions.
	submitInterval = 120 * time.Millisecond
)

// clients submit, ask and cancel. They keep their connections open.
type clients struct {
	soak *soak
	http *http.Client
	rand *rand.Rand

	mu        sync.Mutex
	submitted int
	accepted  int
	refused   int
	unknown   int
	// outstanding are accepted jobs that nobody cancelled; onlyRefused those of which every
	// submission was refused.
	outstanding map[string]bool
	onlyRefused map[string]bool
}

func newClients(s *soak, seed int64) *clients {
	return &clients{
		soak: s, http: &http.Client{Timeout: requestTimeout}, rand: rand.New(rand.NewSource(seed)),
		outstanding: make(map[string]bool), onlyRefused: make(map[string]bool),
	}
}

// run submits until the context ends.
func (c *clients) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.submit(fmt.Sprintf("%016x", c.rand.Uint64()))
		time.Sleep(submitInterval)
	}
}

// submit hands one job in, with a few tries at any entry.
func (c *clients) submit(id string) {
	body, err := stand.Job{Payload: "s", Steps: []stand.Step{
		{Tasks: 1 + c.rand.Intn(5), Processors: 1000, EstimateMillis: 300},
		{Tasks: 2, Processors: 500, EstimateMillis: 300, After: []int{0}},
	}}.RequestBody()
	if err != nil {
		panic("soak: a job can't be encoded: " + err.Error())
	}
	path := []string{"/quick/", "/slow/"}[c.rand.Intn(2)] + id
	refused := true
	c.mu.Lock()
	c.submitted++
	c.mu.Unlock()
	for attempt := 0; attempt < 4; attempt++ {
		switch status := c.send(http.MethodPost, path, body, nil); status {
		case http.StatusOK:
			c.record(id, &c.accepted, true, false)
			if c.rand.Intn(10) == 0 {
				c.cancel(path, id)
			}
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			refused = false
		}
		time.Sleep(submitInterval)
	}
	if refused {
		c.record(id, &c.refused, false, true)
		return
	}
	c.record(id, &c.unknown, false, false)
}

func (c *clients) record(id string, counter *int, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
	if accepted {
		c.outstanding[id] = true
	}
	if refused {
		c.onlyRefused[id] = true
	}
}

// cancel asks for a job's cancelling. It isn't owed any more, whatever the answer.
func (c *clients) cancel(path, id string) {
	c.mu.Lock()
	delete(c.outstanding, id)
	c.mu.Unlock()
	c.send(http.MethodDelete, path, "", nil)
}

// send makes one request at any entry and returns the status, 0 without an answer.
func (c *clients) send(method, path, body string, result any) int {
	address := c.soak.entries[c.rand.Intn(len(c.soak.entries))].clientAddress
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	response, err := c.http.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if result != nil && json.Unmarshal(data, result) != nil {
		return 0
	}
	return response.StatusCode
}

// unfinished returns the accepted jobs that don't show as completed yet.
func (c *clients) unfinished() []string {
	c.mu.Lock()
	ids := make([]string, 0, len(c.outstanding))
	for id := range c.outstanding {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	var unfinished []string
	for _, id := range ids {
		var state stand.JobState
		// The queue's prefix doesn't matter for finding a job within its pool.
		if c.send(http.MethodGet, "/quick/"+id, "", &state) == http.StatusOK && state.Completed() {
			c.mu.Lock()
			delete(c.outstanding, id)
			c.mu.Unlock()
			continue
		}
		unfinished = append(unfinished, id+" is "+state.State)
	}
	return unfinished
}
