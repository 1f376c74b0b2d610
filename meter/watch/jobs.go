package watch

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
)

// JobResults counts the jobs of a load by their results.
type JobResults struct {
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	// Open counts the jobs that hadn't ended by the deadline.
	Open int `json:"open"`
}

// AwaitJobs polls jobs until all have ended or the deadline passes.
func AwaitJobs(ctx context.Context, client *client.Client, clock endive.Clock, jobs []endive.JobID, deadline time.Time) JobResults {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var results JobResults
	for _, id := range jobs {
		switch awaitJob(ctx, client, clock, id, deadline) {
		case apiv1.JobSucceeded:
			results.Succeeded++
		case apiv1.JobFailed, apiv1.JobCancelled, apiv1.JobUnknown:
			results.Failed++
		default:
			results.Open++
		}
	}
	return results
}

// awaitJob polls a job until it has ended or the deadline passes, and returns its last
// state.
func awaitJob(ctx context.Context, client *client.Client, clock endive.Clock, id endive.JobID, deadline time.Time) apiv1.JobState {
	ticks := time.NewTicker(SamplePeriod / 2)
	defer ticks.Stop()
	for {
		status, err := client.Job(ctx, id)
		ended := err == nil && status.State != apiv1.JobWaiting && status.State != apiv1.JobRunning && status.State != apiv1.JobCancelling
		if ended || !clock.Now().Before(deadline) {
			return status.State
		}
		select {
		case <-ctx.Done():
			return status.State
		case <-ticks.C:
		}
	}
}
