package ticket

import (
	"sort"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// knownConfig is the newest configuration that an entry knows, whether or not it
// may confirm it yet.
type knownConfig struct {
	rows map[endive.ResourceKey]configRow
	// revision is the newest change of the configuration up to which all are
	// held. Rows of single tickets can be newer.
	revision endive.Revision
	// complete says that the table or a peer has given all rows once.
	complete bool
	// unreadable are rows that couldn't be read: nothing from their revision on
	// is confirmed.
	unreadable map[endive.ResourceKey]endive.Revision
	// changed says that a row changed since the configuration was published.
	changed bool
}

// merge takes over one row, unless a higher ticket holds the resource.
func (c *knownConfig) merge(key endive.ResourceKey, row configRow) {
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

// markComplete notes that all rows up to a revision were merged.
func (c *knownConfig) markComplete(revision endive.Revision) {
	c.complete = true
	c.revision = max(c.revision, revision)
}

// completeRevision returns the newest revision up to which all changes are completeRevision and could
// be read.
func (c *knownConfig) completeRevision() endive.Revision {
	held := c.revision
	for _, bad := range c.unreadable {
		held = min(held, bad-1)
	}
	return held
}

// config returns the configuration under the revision that is confirmed.
func (c *knownConfig) config(confirmed endive.Revision) endive.Config {
	resources := make(map[endive.ResourceKey]endive.ConfiguredResource, len(c.rows))
	for key, row := range c.rows {
		resources[key] = row.ConfiguredResource
	}
	return endive.Config{Revision: confirmed, Resources: resources}
}

// keys returns the keys of all rows, sorted.
func (c *knownConfig) keys() []endive.ResourceKey {
	keys := make([]endive.ResourceKey, 0, len(c.rows))
	for key := range c.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// wireRows returns the rows of keys as peers get them.
func (c *knownConfig) wireRows(keys []endive.ResourceKey) []*wire.ConfigRow {
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

// newestTicket returns the highest ticket that holds a resource.
func (c *knownConfig) newestTicket() endive.TicketNumber {
	var newest endive.TicketNumber
	for _, row := range c.rows {
		newest = max(newest, row.Ticket)
	}
	return newest
}

// highestHolder returns the highest ticket that holds one of the resources, and which.
func (c *knownConfig) highestHolder(list []resource) Conflict {
	var found Conflict
	for _, r := range list {
		if row, ok := c.rows[r.key]; ok && row.Ticket > found.Ticket {
			found = Conflict{Resource: r.key, Ticket: row.Ticket}
		}
	}
	return found
}
