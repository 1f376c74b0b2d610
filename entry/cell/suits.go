package cell

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// A pool's holder needs processor time, and asks the store often. Entries differ in
// both, so each leaves a free pool to those that suit better, and a holder hands its
// pool on where it finds one that suits much better.

const (
	// wayStep is the difference in distance to the store, in milliseconds, below
	// which two entries are equally near.
	wayStep = 20
	// muchBetter is how many times an entry's processor time has to be that of the
	// holder for a pool to be handed on.
	muchBetter = 2
	// handOnAfter is how long an entry holds a pool before it is handed on, and the
	// pause between two tries.
	handOnAfter = 4 * time.Second
	// unknownPlace is the place of an entry that doesn't know the others yet, which
	// gives them the time to register when all start at once.
	unknownPlace = 24
	// knownAfter is how long after it first reads the others' rows an entry trusts
	// that all have registered which started with it.
	knownAfter = 1200 * time.Millisecond
	// suitedLinks is how many of the entries that suit best are always linked with.
	suitedLinks = 4
)

// suitsBetter reports whether an entry is better placed to hold a pool than another.
func (r entryRow) suitsBetter(o entryRow) bool {
	if r.Cores != o.Cores {
		return r.Cores > o.Cores
	}
	return r.WayMillis/wayStep < o.WayMillis/wayStep
}

// ownRow returns what this entry tells of itself.
func (p *peers) ownRow() entryRow {
	settings := p.cell.Settings
	return entryRow{
		Address: settings.Listen.Peers, Incarnation: p.cell.Incarnation, Region: settings.Region, Zone: settings.Zone,
		At: p.cell.Platform.AtLeast(p.cell.Clock.Now()), Cores: settings.Limits.Cores, WayMillis: time.Duration(p.cell.Rows.distance()).Milliseconds(),
	}
}

// noteKnown notes when the others are known: a while after they are read first, or at
// once where this entry has registered before, so that only it starts anew or all do.
// The caller holds the lock.
func (p *peers) noteKnown() {
	if p.known || len(p.rows) < 2 {
		return
	}
	now := p.cell.Clock.Now()
	if p.knownSince.IsZero() {
		p.knownSince = now
	}
	own, registered := p.rows[p.cell.Settings.Name]
	before := registered && own.Incarnation != p.cell.Incarnation
	p.known = before || now.Sub(p.knownSince) > knownAfter
}

// living reports whether a row was renewed lately.
func (r entryRow) living(now endive.PlatformTime) bool {
	return r.At+endive.PlatformTime(entryAge.Milliseconds()) >= now
}

// place returns how many living entries suit a pool better than this one.
func (p *peers) place(pool endive.PoolName) int {
	own := p.ownRow()
	rank := endive.Rendezvous(p.cell.Settings.Name, string(pool))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return len(p.rows) + unknownPlace
	}
	better := 0
	for id, row := range p.rows {
		if id == p.cell.Settings.Name || !row.living(own.At) {
			continue
		}
		if row.suitsBetter(own) || !own.suitsBetter(row) && endive.Rendezvous(id, string(pool)) > rank {
			better++
		}
	}
	return better
}

// suited returns the other living entries, those that suit a pool best first. The
// caller holds the lock.
func (p *peers) suited(pool endive.PoolName) []endive.EntryID {
	now := p.cell.Platform.AtLeast(p.cell.Clock.Now())
	var ids []endive.EntryID
	for id, row := range p.rows {
		if id != p.cell.Settings.Name && row.living(now) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := p.rows[ids[i]], p.rows[ids[j]]
		if a.suitsBetter(b) != b.suitsBetter(a) {
			return a.suitsBetter(b)
		}
		return endive.Rendezvous(ids[i], string(pool)) > endive.Rendezvous(ids[j], string(pool))
	})
	return ids
}

// near reports whether an entry is in this one's region, as far as is known.
func (p *peers) near(id endive.EntryID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[id].Region == p.cell.Settings.Region
}

// nearTo returns whether a zone is in the region of an entry, as far as is known.
func (p *peers) nearTo(id endive.EntryID) func(endive.Zone) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	region := p.rows[id].Region
	zones := make(map[endive.Zone]bool)
	for _, row := range p.rows {
		if row.Region == region {
			zones[row.Zone] = true
		}
	}
	return func(zone endive.Zone) bool { return zones[zone] }
}

// linkedFor returns the linked entries that suit a pool about as well as this one, or
// all where none does, those that suit it best first.
func (p *peers) linkedFor(pool endive.PoolName) []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.cell.Settings.Limits.Cores
	var ids, weak []endive.EntryID
	for _, id := range p.suited(pool) {
		switch {
		case !p.linked[id]:
		case p.rows[id].Cores*muchBetter > own:
			ids = append(ids, id)
		default:
			weak = append(weak, id)
		}
	}
	if len(ids) == 0 {
		return weak
	}
	return ids
}

// successors returns the linked entries that may hold a pool after this one, the best
// first. Of those that suit equally well the one that started last is the best: where
// entries are restarted in turn, its turn is over.
func (p *peers) successors(pool endive.PoolName) []endive.EntryID {
	ids := p.linkedFor(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	sort.SliceStable(ids, func(i, j int) bool {
		a, b := p.rows[ids[i]], p.rows[ids[j]]
		if a.suitsBetter(b) != b.suitsBetter(a) {
			return a.suitsBetter(b)
		}
		return a.Started > b.Started
	})
	return ids
}

// bestFor returns the entry that suits a pool best of those that are linked and hold
// no other, if it suits much better than this one.
func (p *peers) bestFor(pool endive.PoolName, holders map[endive.EntryID]bool) (endive.EntryID, bool) {
	cores := p.cell.Settings.Limits.Cores
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.suited(pool) {
		if p.rows[id].Cores < muchBetter*cores {
			return "", false
		}
		if p.linked[id] && !holders[id] {
			return id, true
		}
	}
	return "", false
}
