package store

import "endiveroute.example/endive"

func (c *Client) countRead(keys []string) {
	if len(keys) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.counts.Kinds[kindOf(keys[0])]
	count.Reads++
	c.counts.Kinds[kindOf(keys[0])] = count
}

func (c *Client) countScan(prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.counts.Kinds[kindOf(prefix)]
	count.Scans++
	c.counts.Kinds[kindOf(prefix)] = count
}

func (c *Client) countWrite(txn endive.Transaction) {
	if len(txn.Writes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := kindOf(txn.Writes[0].Key)
	count := c.counts.Kinds[kind]
	count.Writes++
	count.Rows += uint64(len(txn.Writes))
	c.counts.Kinds[kind] = count
}

func (c *Client) countUnknown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unknown++
}

func (c *Client) countResolved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Resolved++
}
