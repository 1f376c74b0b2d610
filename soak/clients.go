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
	// requestTimeout bounds one request of a client.
	requestTimeout = 3 * time.Second
	// submitInterval is the time between two submissions or attempts.
	submitInterval = 120 * time.Millisecond
)

// clients submit, query and cancel jobs over persistent connections.
type clients struct {
	soak *soak
	http *http.Client
	rand *rand.Rand

	mu        sync.Mutex
	submitted int
	accepted  int
	refused   int
	unknown   int
	// outstanding holds the accepted jobs that weren't cancelled and haven't been seen
	// completed; onlyRefused holds the jobs whose submissions were all refused.
	outstanding map[string]bool
	onlyRefused map[string]bool
}

func newClients(s *soak, seed int64) *clients {
	return &clients{
		soak: s, http: &http.Client{Timeout: requestTimeout}, rand: rand.New(rand.NewSource(seed)),
		outstanding: make(map[string]bool), onlyRefused: make(map[string]bool),
	}
}

// run submits jobs until ctx is done.
func (c *clients) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.submit(fmt.Sprintf("%016x", c.rand.Uint64()))
		time.Sleep(submitInterval)
	}
}

// submit submits one job, with up to four attempts at random entries, and records
// whether it was accepted.
func (c *clients) submit(id string) {
	body, err := stand.Job{Payload: "s", Steps: []stand.Step{
		{Tasks: 1 + c.rand.Intn(5), Processors: firstProcessors, EstimateMillis: 300},
		{Tasks: 2, Processors: secondProcessors, EstimateMillis: 300, After: []int{0}},
	}}.RequestBody()
	if err != nil {
		panic("soak: can't encode a job: " + err.Error())
	}
	path := []string{"/quick/", "/slow/"}[c.rand.Intn(2)] + id
	refused := true
	c.mu.Lock()
	c.submitted++
	c.mu.Unlock()
	for attempt := 0; attempt < 4; attempt++ {
		switch status := c.send(http.MethodPost, path, accountOf(id), body, nil); status {
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

// record counts the result of a submission.
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

// cancel requests a job's cancellation. Whether or not the request succeeds,
// the job needn't complete any more.
func (c *clients) cancel(path, id string) {
	c.mu.Lock()
	delete(c.outstanding, id)
	c.mu.Unlock()
	c.send(http.MethodDelete, path, accountOf(id), "", nil)
}

// send sends a request with an account's key to a random entry and decodes the response body into result. It
// returns the HTTP status, or 0 if there was no valid response.
func (c *clients) send(method, path, key, body string, result any) int {
	address := c.soak.entries[c.rand.Intn(len(c.soak.entries))].clientAddress
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	if c.soak.checks.accountCap > 0 {
		request.Header.Set("Authorization", "Bearer "+key)
	}
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

// checkOwner records a violation if a completed job is shown to another account.
func (c *clients) checkOwner(id string) {
	if c.soak.checks.accountCap > 0 && c.send(http.MethodGet, "/quick/"+id, otherAccount(id), "", nil) == http.StatusOK {
		c.soak.checks.addViolation("job " + id + " is shown to another account")
	}
}

// unfinished returns the accepted jobs that aren't reported as completed, with their states.
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
		// Any queue's path prefix will do: jobs are looked up by id.
		if c.send(http.MethodGet, "/quick/"+id, accountOf(id), "", &state) == http.StatusOK && state.Completed() {
			c.mu.Lock()
			delete(c.outstanding, id)
			c.mu.Unlock()
			c.checkOwner(id)
			continue
		}
		unfinished = append(unfinished, id+" is "+state.State)
	}
	return unfinished
}
