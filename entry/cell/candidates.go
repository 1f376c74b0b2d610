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
	// storeLatencyStep is the difference in distance to the store, in milliseconds, below
	// which two entries are equally near.
	storeLatencyStep = 20
	// transferFactor is how many times an entry's processor time has to be that of the
	// holder for a pool to be handed on.
	transferFactor = 2
	// transferDelay is how long an entry holds a pool before it is handed on, and the
	// pause between two tries.
	transferDelay = 4 * time.Second
	// undiscoveredRank is the place of an entry that doesn't know the others yet, which
	// gives them the time to register when all start at once.
	undiscoveredRank = 24
	// discoveryTime is how long after it first reads the others' rows an entry trusts
	// that all have registered which started with it.
	discoveryTime = 1200 * time.Millisecond
	// candidateLinks is how many of the entries that suit best are always linked with.
	candidateLinks = 4
)

// betterHolderThan reports whether an entry is better placed to hold a pool than another.
func (r entryRow) betterHolderThan(other entryRow) bool {
	if r.Cores != other.Cores {
		return r.Cores > other.Cores
	}
	return r.StoreLatencyMillis/storeLatencyStep < other.StoreLatencyMillis/storeLatencyStep
}

// ownRow returns what this entry tells of itself.
func (p *peers) ownRow() entryRow {
	settings := p.cell.Settings
	return entryRow{
		Address: settings.Listen.Peers, Incarnation: p.cell.Incarnation, Region: settings.Region, Zone: settings.Zone,
		At: p.cell.Platform.AtLeast(p.cell.Clock.Now()), Cores: settings.Limits.Cores, StoreLatencyMillis: time.Duration(p.cell.Store.latencyFloor()).Milliseconds(),
	}
}

// updateDiscovered notes when the others are known: a while after they are read first, or at
// once where this entry has registered before, so that only it starts anew or all do.
// The caller holds the lock.
func (p *peers) updateDiscovered() {
	if p.discovered || len(p.rows) < 2 {
		return
	}
	now := p.cell.Clock.Now()
	if p.discoveryBegan.IsZero() {
		p.discoveryBegan = now
	}
	own, registered := p.rows[p.cell.Settings.Name]
	before := registered && own.Incarnation != p.cell.Incarnation
	p.discovered = before || now.Sub(p.discoveryBegan) > discoveryTime
}

// isLive reports whether a row was renewed lately.
func (r entryRow) isLive(now endive.PlatformTime) bool {
	return r.At+endive.PlatformTime(entryTimeout.Milliseconds()) >= now
}

// rank returns how many living entries suit a pool better than this one.
func (p *peers) rank(pool endive.PoolName) int {
	own := p.ownRow()
	hash := endive.Rendezvous(p.cell.Settings.Name, string(pool))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.discovered {
		return len(p.rows) + undiscoveredRank
	}
	better := 0
	for id, row := range p.rows {
		if id == p.cell.Settings.Name || !row.isLive(own.At) {
			continue
		}
		if row.betterHolderThan(own) || !own.betterHolderThan(row) && endive.Rendezvous(id, string(pool)) > hash {
			better++
		}
	}
	return better
}

// candidates returns the other living entries, those that suit a pool best first. The
// caller holds the lock.
func (p *peers) candidates(pool endive.PoolName) []endive.EntryID {
	now := p.cell.Platform.AtLeast(p.cell.Clock.Now())
	var ids []endive.EntryID
	for id, row := range p.rows {
		if id != p.cell.Settings.Name && row.isLive(now) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := p.rows[ids[i]], p.rows[ids[j]]
		if a.betterHolderThan(b) != b.betterHolderThan(a) {
			return a.betterHolderThan(b)
		}
		return endive.Rendezvous(ids[i], string(pool)) > endive.Rendezvous(ids[j], string(pool))
	})
	return ids
}

// inOwnRegion reports whether an entry is in this one's region, as far as is known.
func (p *peers) inOwnRegion(id endive.EntryID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[id].Region == p.cell.Settings.Region
}

// regionZones returns whether a zone is in the region of an entry, as far as is known.
func (p *peers) regionZones(id endive.EntryID) func(endive.Zone) bool {
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

// linkedCandidates returns the linked entries that suit a pool about as well as this one, or
// all where none does, those that suit it best first.
func (p *peers) linkedCandidates(pool endive.PoolName) []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.cell.Settings.Limits.Cores
	var ids, weaker []endive.EntryID
	for _, id := range p.candidates(pool) {
		switch {
		case !p.linked[id]:
		case p.rows[id].Cores*transferFactor > own:
			ids = append(ids, id)
		default:
			weaker = append(weaker, id)
		}
	}
	if len(ids) == 0 {
		return weaker
	}
	return ids
}

// successors returns the linked entries that may hold a pool after this one, the best
// first. Of those that suit equally well the one that started last is the best: where
// entries are restarted in turn, its turn is over.
func (p *peers) successors(pool endive.PoolName) []endive.EntryID {
	ids := p.linkedCandidates(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	sort.SliceStable(ids, func(i, j int) bool {
		a, b := p.rows[ids[i]], p.rows[ids[j]]
		if a.betterHolderThan(b) != b.betterHolderThan(a) {
			return a.betterHolderThan(b)
		}
		return a.StartTime > b.StartTime
	})
	return ids
}

// transferTarget returns the entry that suits a pool best of those that are linked and hold
// no other, if it suits much better than this one.
func (p *peers) transferTarget(pool endive.PoolName, holders map[endive.EntryID]bool) (endive.EntryID, bool) {
	cores := p.cell.Settings.Limits.Cores
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.candidates(pool) {
		if p.rows[id].Cores < transferFactor*cores {
			return "", false
		}
		if p.linked[id] && !holders[id] {
			return id, true
		}
	}
	return "", false
}
