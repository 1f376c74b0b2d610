package ticket

import (
	"sort"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// knownConfig is the newest configuration known to this entry. It may be newer than
// the revision that the entry has confirmed.
type knownConfig struct {
	rows map[endive.ResourceKey]configRow
	// revision is the newest revision up to which all changes have been merged. Rows
	// from ticket notices can be newer.
	revision endive.Revision
	// complete is set once all rows have been received from the table or a peer.
	complete bool
	// unreadable holds the revisions of rows that could not be decoded. The entry
	// confirms no revision from the first of them on.
	unreadable map[endive.ResourceKey]endive.Revision
	// changed is set if a row has changed since the configuration was last published.
	changed bool
}

// merge applies one row, unless a higher-numbered ticket has already set the resource.
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

// markComplete records that all rows up to a revision have been merged.
func (c *knownConfig) markComplete(revision endive.Revision) {
	c.complete = true
	c.revision = max(c.revision, revision)
}

// completeRevision returns the newest revision up to which all changes have been
// merged and could be decoded.
func (c *knownConfig) completeRevision() endive.Revision {
	revision := c.revision
	for _, bad := range c.unreadable {
		revision = min(revision, bad-1)
	}
	return revision
}

// config returns the configuration, labelled with the confirmed revision.
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

// wireRows returns the rows with these keys in the form in which peers receive them.
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

// newestTicket returns the highest number of a ticket that last set a resource.
func (c *knownConfig) newestTicket() endive.TicketNumber {
	var newest endive.TicketNumber
	for _, row := range c.rows {
		newest = max(newest, row.Ticket)
	}
	return newest
}

// highestTicketOf returns the highest number of a ticket that last set one of the
// listed resources, with that resource.
func (c *knownConfig) highestTicketOf(list []resource) Conflict {
	var highest Conflict
	for _, r := range list {
		if row, ok := c.rows[r.key]; ok && row.Ticket > highest.Ticket {
			highest = Conflict{Resource: r.key, Ticket: row.Ticket}
		}
	}
	return highest
}
