package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sort"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// AllWorkers queries all entries of the client for the workers, and merges the lists:
// only the holder of a worker's slice reports the tasks and resources committed on it,
// so the entry that reports most tasks counts. If some entries don't answer, the list is
// returned together with an error that names them.
func (c *Client) AllWorkers(ctx context.Context) (apiv1.WorkerList, error) {
	merged := make(map[endive.WorkerID]apiv1.Worker)
	err := c.getFromAll(ctx, apiv1.PathWorkers, func(body []byte) error {
		var list apiv1.WorkerList
		err := json.Unmarshal(body, &list)
		for _, one := range list.Workers {
			if seen, ok := merged[one.ID]; !ok || one.Tasks > seen.Tasks {
				merged[one.ID] = one
			}
		}
		return err
	})
	list := apiv1.WorkerList{Workers: make([]apiv1.Worker, 0, len(merged))}
	for _, one := range merged {
		list.Workers = append(list.Workers, one)
	}
	sort.Slice(list.Workers, func(i, j int) bool { return list.Workers[i].ID < list.Workers[j].ID })
	return list, err
}

// AllSlices queries all entries of the client for the slices, and returns the most
// current state of each. If some entries don't answer, the list is returned together
// with an error that names them.
func (c *Client) AllSlices(ctx context.Context) (apiv1.SliceList, error) {
	merged := make(map[endive.SliceID]apiv1.Slice)
	err := c.getFromAll(ctx, apiv1.PathSlices, func(body []byte) error {
		var list apiv1.SliceList
		err := json.Unmarshal(body, &list)
		for _, one := range list.Slices {
			if seen, ok := merged[one.ID]; !ok || isMoreCurrent(one, seen) {
				merged[one.ID] = one
			}
		}
		return err
	})
	list := apiv1.SliceList{Slices: make([]apiv1.Slice, 0, len(merged))}
	for _, one := range merged {
		list.Slices = append(list.Slices, one)
	}
	sort.Slice(list.Slices, func(i, j int) bool { return list.Slices[i].ID < list.Slices[j].ID })
	return list, err
}

// isMoreCurrent reports whether the first state of a slice is preferred to the
// second: the higher epoch, then the state from the holder itself (with a
// remaining lease), then the one with more queued and running tasks.
func isMoreCurrent(a, b apiv1.Slice) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	if (a.Remaining > 0) != (b.Remaining > 0) {
		return a.Remaining > 0
	}
	return a.Queued+a.Running > b.Queued+b.Running
}

// getFromAll sends a GET call to each entry, and calls visit with the body of each
// successful response. The error names the entries that failed.
func (c *Client) getFromAll(ctx context.Context, path string, visit func(body []byte) error) error {
	var failures []error
	unreachable := 0
	for _, address := range c.addresses {
		got, err := c.attempt(ctx, address, call{method: http.MethodGet, path: path})
		if err == nil {
			err = got.failure()
		}
		if err == nil {
			err = visit(got.body)
		}
		if err != nil {
			failures = append(failures, err)
		}
		if err != nil && isDialError(err) {
			unreachable++
		}
	}
	if len(failures) == 0 {
		return nil
	}
	if unreachable == len(c.addresses) {
		return ErrUnreachable.Wrap(errors.Join(failures...))
	}
	return endive.ErrUnavailable.Wrap(errors.Join(failures...))
}
