package ticket

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// registry holds the registered entries as the table has them. A ticket is in
// force only when each of them has confirmed it.
type registry struct {
	rows map[endive.EntryID]*entryRow
}

// merge takes over changed rows.
func (r *registry) merge(rows []endive.Row) {
	for _, row := range rows {
		entry, got := decodeEntry(row)
		old := r.rows[entry]
		if row.Deleted {
			delete(r.rows, entry)
			continue
		}
		if old != nil && old.version >= got.version {
			continue
		}
		if old != nil {
			got.wasMember = old.wasMember
		}
		r.rows[entry] = got
	}
}

// entries returns the registered entries in the order of their ids.
func (r *registry) entries() []endive.EntryID {
	entries := make([]endive.EntryID, 0, len(r.rows))
	for entry, row := range r.rows {
		if !row.unregistered {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i] < entries[j] })
	return entries
}

// trackGone notes which entries are gone. An empty view of the endpoints means that
// the instance list was never read, and tells nothing.
func (r *registry) trackGone(now time.Time, view endive.MembersChanged) {
	peers := make(map[endive.EntryID]endive.Peer, len(view.Peers))
	for _, p := range view.Peers {
		peers[p.ID] = p
	}
	listed := len(view.Endpoints) > 0
	for entry, row := range r.rows {
		peer, ok := peers[entry]
		row.wasMember = row.wasMember || ok
		switch {
		case entry == view.Self.ID, ok && peer.State != endive.MemberGone, !ok && !listed:
			row.goneSince = time.Time{}
		case row.goneSince.IsZero():
			row.goneSince = now
		}
	}
}

// removable returns the first entry that has been gone for long enough. One
// that was never seen has to be gone for longer: the instance list lags.
func (r *registry) removable(now time.Time, delay, unlistedDelay endive.Interval) (endive.EntryID, bool) {
	for _, entry := range r.entries() {
		row := r.rows[entry]
		wait := delay
		if !row.wasMember {
			wait = unlistedDelay
		}
		if !row.goneSince.IsZero() && !now.Before(wait.After(row.goneSince)) {
			return entry, true
		}
	}
	return "", false
}
