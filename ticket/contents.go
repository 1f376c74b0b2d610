package ticket

import (
	"sort"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// contents is the newest configuration that an entry knows, whether or not it
// may confirm it yet.
type contents struct {
	rows map[endive.ResourceKey]configRow
	// revision is the newest change of the configuration up to which all are
	// held. Rows of single tickets can be newer.
	revision endive.Revision
	// whole says that the table or a peer has given all rows once.
	whole bool
	// unreadable are rows that couldn't be read: nothing from their revision on
	// is confirmed.
	unreadable map[endive.ResourceKey]endive.Revision
	// changed says that a row changed since the configuration was published.
	changed bool
}

// merge takes over one row, unless a higher ticket holds the resource.
func (c *contents) merge(key endive.ResourceKey, row configRow) {
	old, ok := c.rows[key]
	if ok && row.Ticket < old.Ticket {
		return
	}
	if ok && row.Ticket == old.Ticket {
		old.Version = max(old.Version, row.Version)
		old.Revision = max(old.Revision, row.Revision)
		c.rows[key] = old
		return
	}
	c.rows[key] = row
	c.changed = true
	delete(c.unreadable, key)
}

// complete notes that all rows up to a revision were merged.
func (c *contents) complete(revision endive.Revision) {
	c.whole = true
	c.revision = max(c.revision, revision)
}

// held returns the newest revision up to which all changes are held and could
// be read.
func (c *contents) held() endive.Revision {
	held := c.revision
	for _, bad := range c.unreadable {
		held = min(held, bad-1)
	}
	return held
}

// config returns the configuration under the revision that is confirmed.
func (c *contents) config(confirmed endive.Revision) endive.Config {
	resources := make(map[endive.ResourceKey]endive.ConfiguredResource, len(c.rows))
	for key, row := range c.rows {
		resources[key] = row.ConfiguredResource
	}
	return endive.Config{Revision: confirmed, Resources: resources}
}

// keys returns the keys of all rows, sorted.
func (c *contents) keys() []endive.ResourceKey {
	keys := make([]endive.ResourceKey, 0, len(c.rows))
	for key := range c.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// message returns the rows of keys as peers get them.
func (c *contents) message(keys []endive.ResourceKey) []*wire.ConfigRow {
	rows := make([]*wire.ConfigRow, 0, len(keys))
	for _, key := range keys {
		row := c.rows[key]
		rows = append(rows, &wire.ConfigRow{
			Key:      string(key),
			Ticket:   uint64(row.Ticket),
			Value:    encodeConfigured(row.ConfiguredResource),
			Revision: uint64(row.Revision),
		})
	}
	return rows
}

// newest returns the highest ticket that holds a resource.
func (c *contents) newest() endive.TicketNumber {
	var newest endive.TicketNumber
	for _, row := range c.rows {
		newest = max(newest, row.Ticket)
	}
	return newest
}

// holder returns the highest ticket that holds one of the resources, and which.
func (c *contents) holder(list []resource) Conflict {
	var found Conflict
	for _, r := range list {
		if row, ok := c.rows[r.key]; ok && row.Ticket > found.Holder {
			found = Conflict{Resource: r.key, Holder: row.Ticket}
		}
	}
	return found
}
