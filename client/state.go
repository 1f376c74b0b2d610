package client

import (
	"context"

	"endiveroute.example/endive/apiv1"
)

// Entries lists the entries, with their state as the queried entry knows it.
func (c *Client) Entries(ctx context.Context) (apiv1.EntryList, error) {
	var list apiv1.EntryList
	err := c.get(ctx, apiv1.PathEntries, &list)
	return list, err
}

// Instances lists the workers and executors.
func (c *Client) Instances(ctx context.Context) (apiv1.InstanceList, error) {
	var list apiv1.InstanceList
	err := c.get(ctx, apiv1.PathInstances, &list)
	return list, err
}

// Workers lists the workers with the resources committed on them.
func (c *Client) Workers(ctx context.Context) (apiv1.WorkerList, error) {
	var list apiv1.WorkerList
	err := c.get(ctx, apiv1.PathWorkers, &list)
	return list, err
}

// Slices lists the slices with their holders.
func (c *Client) Slices(ctx context.Context) (apiv1.SliceList, error) {
	var list apiv1.SliceList
	err := c.get(ctx, apiv1.PathSlices, &list)
	return list, err
}

// Slots lists the executors' slots, and how many of them the queried entry holds and lends.
func (c *Client) Slots(ctx context.Context) (apiv1.SlotList, error) {
	var list apiv1.SlotList
	err := c.get(ctx, apiv1.PathSlots, &list)
	return list, err
}
