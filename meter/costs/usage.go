package costs

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// detailedCounts is the part of the simulated services' detailed counts that holds the
// workers' used resources.
type detailedCounts struct {
	Workers struct {
		Workers map[endive.WorkerID]struct {
			Used endive.Resources `json:"used"`
		} `json:"workers"`
	} `json:"workers"`
}

// Usage returns the declared resources of the tasks that run on each worker, as the
// simulated workers count them, or nil if there is no control listener.
func (r *Reader) Usage(ctx context.Context) (map[endive.WorkerID]endive.Resources, error) {
	if r.control == "" {
		return nil, nil
	}
	body, err := r.get(ctx, r.control, "/v1/counts?detail=true")
	if err != nil {
		return nil, err
	}
	var counts detailedCounts
	if err := json.Unmarshal(body, &counts); err != nil {
		return nil, errs.New("Reader.Usage: %w", err)
	}
	usage := make(map[endive.WorkerID]endive.Resources, len(counts.Workers.Workers))
	for id, one := range counts.Workers.Workers {
		usage[id] = one.Used
	}
	return usage, nil
}
