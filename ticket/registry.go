package ticket

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// registry holds the registered entries, as last read from the table. A ticket is in
// force once each of them has confirmed it.
type registry struct {
	rows map[endive.EntryID]*entryRow
}

// merge applies changed rows, ignoring versions that are not newer.
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

// entries returns the IDs of the registered entries, sorted.
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

// trackGone updates the time since which each registered entry has been gone. A view
// without endpoints means that the instance list has not been read yet: an entry that
// is missing from such a view does not count as gone.
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

// removable returns the first entry that has been gone for at least delay. For an
// entry that has never appeared among the members it requires unlistedDelay, because
// the instance list lags behind.
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
