package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Submit submits a job. A second Submit with the same key doesn't create another job.
func (c *Client) Submit(ctx context.Context, job endive.Job) (apiv1.JobStatus, error) {
	var status apiv1.JobStatus
	err := c.json(ctx, call{method: http.MethodPost, path: apiv1.PathJobs, repeatable: job.Key != ""}, job, &status)
	return status, err
}

// Job returns the status of one job, with the reasons why its tasks are waiting.
func (c *Client) Job(ctx context.Context, id endive.JobID) (apiv1.JobStatus, error) {
	var status apiv1.JobStatus
	err := c.get(ctx, apiv1.JobPath(id), &status)
	return status, err
}

// Jobs returns a page of jobs.
func (c *Client) Jobs(ctx context.Context, query apiv1.JobQuery) (apiv1.JobList, error) {
	values := make(url.Values)
	for name, value := range map[string]string{
		"team": string(query.Team), "name": string(query.Name), "state": string(query.State), "after": string(query.After),
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if query.Limit != 0 {
		values.Set("limit", strconv.Itoa(query.Limit))
	}
	path := apiv1.PathJobs
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	var list apiv1.JobList
	err := c.get(ctx, path, &list)
	return list, err
}

// Cancel cancels jobs. After a lost answer, a cancellation by team or name isn't sent
// again: it could cancel jobs that were submitted in the meantime.
func (c *Client) Cancel(ctx context.Context, cancellation apiv1.Cancellation) (apiv1.Cancelled, error) {
	var cancelled apiv1.Cancelled
	err := c.json(ctx, call{method: http.MethodPost, path: apiv1.PathCancellations, repeatable: cancellation.Job != ""}, cancellation, &cancelled)
	return cancelled, err
}
