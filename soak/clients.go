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
	// fewTasks is the largest number of tasks in the first step of a job with few workers. With many workers there is a task
	// more for each workersPerTask, but not for the account with a cap.
	fewTasks, workersPerTask = 5, 4
	// clientHost is the host of all calls.
	clientHost = "a.example"
)

// clients submit, query and cancel jobs of one account over persistent connections.
type clients struct {
	soak    *soak
	account string
	http    *http.Client
	rand    *rand.Rand
	// maxTasks is the largest number of tasks in the first step of a job.
	maxTasks int

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

func newClients(s *soak, account string, seed int64) *clients {
	return &clients{
		soak: s, account: account, http: &http.Client{Timeout: requestTimeout}, rand: rand.New(rand.NewSource(seed)), maxTasks: fewTasks,
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
	job := newJob(c.rand, c.maxTasks)
	body, err := job.RequestBody()
	if err != nil {
		panic("soak: can't encode a job: " + err.Error())
	}
	c.soak.accounts.usage.AddJob(id, c.account, job)
	c.soak.checks.addJob(id, job)
	path := []string{"/quick/", "/slow/", "/bulk/"}[c.rand.Intn(3)] + id
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
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusUnauthorized:
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

// newJob returns a random job whose first step has at most maxTasks tasks.
func newJob(r *rand.Rand, maxTasks int) stand.Job {
	return stand.Job{Payload: "s", Steps: []stand.Step{
		{Tasks: 1 + r.Intn(maxTasks), Processors: 1000, EstimateMillis: 300, Gang: r.Intn(4) == 0},
		{Tasks: 2, Processors: []int{500, 500, 2500}[r.Intn(3)], EstimateMillis: 300, After: []int{0}},
	}}
}

// anyOutstanding returns the id of an accepted job that hasn't been seen completed; empty if there
// is none.
func (c *clients) anyOutstanding() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.outstanding {
		return id
	}
	return ""
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
	c.send(http.MethodDelete, path, "", nil)
}

// send sends a request with the account's key to a random entry and decodes the response body
// into result. It returns the HTTP status, or 0 if there was no valid response.
func (c *clients) send(method, path, body string, result any) int {
	return c.sendTo(c.anyEntry(), method, path, c.soak.accounts.key(c.account), body, result)
}

func (c *clients) anyEntry() *entry { return c.soak.entries[c.rand.Intn(len(c.soak.entries))] }

// sendTo sends a request with a key to an entry, as send does; empty for no key.
func (c *clients) sendTo(e *entry, method, path, key, body string, result any) int {
	request, err := http.NewRequest(method, "http://"+e.clientAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = clientHost
	if key != "" {
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
