package cell

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// A pool's holder needs processor time and sends many requests to the store. Entries differ
// in cores and in store latency. An entry therefore delays the acquisition of a free pool by
// its candidate rank, and a holder transfers its pool to an entry that has far more cores.

const (
	// storeLatencyStep is the granularity, in milliseconds, in which the store latencies of
	// entries are compared.
	storeLatencyStep = 20
	// transferFactor is how many times the holder's cores an entry must have for a pool to
	// be transferred to it.
	transferFactor = 2
	// transferDelay is how long an entry holds a pool before it tries to transfer it, and the
	// pause between two tries.
	transferDelay = 4 * time.Second
	// undiscoveredRank is added to the rank of an entry that hasn't discovered the others
	// yet. The longer delay gives them time to register when all start at once.
	undiscoveredRank = 24
	// discoveryTime is how long after its first read of other entries' rows an entry
	// assumes that all entries started at the same time have registered.
	discoveryTime = 1200 * time.Millisecond
	// candidateLinks is how many of the best candidates an entry always keeps links to.
	candidateLinks = 4
)

// betterHolderThan reports whether an entry is a better candidate for a pool than another:
// it has more cores or, with the same cores, a lower store latency.
func (r entryRow) betterHolderThan(other entryRow) bool {
	if r.Cores != other.Cores {
		return r.Cores > other.Cores
	}
	return r.StoreLatencyMillis/storeLatencyStep < other.StoreLatencyMillis/storeLatencyStep
}

// ownRow returns the row by which this entry registers itself.
func (p *peers) ownRow() entryRow {
	settings := p.cell.Settings
	return entryRow{
		Address: settings.Listen.Peers, Incarnation: p.cell.Incarnation, Region: settings.Region, Zone: settings.Zone,
		At: p.cell.Platform.AtLeast(p.cell.Clock.Now()), Cores: settings.Limits.Cores, StoreLatencyMillis: time.Duration(p.cell.Store.latencyFloor()).Milliseconds(),
	}
}

// updateDiscovered sets discovered once the rows of all entries have probably been read: a
// while after the first read, or at once if an earlier run of this entry has registered.
// In that case the other entries have registered earlier, too.
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
	registeredBefore := registered && own.Incarnation != p.cell.Incarnation
	p.discovered = registeredBefore || now.Sub(p.discoveryBegan) > discoveryTime
}

// isLive reports whether a row was renewed within entryTimeout.
func (r entryRow) isLive(now endive.PlatformTime) bool {
	return r.At+endive.PlatformTime(entryTimeout.Milliseconds()) >= now
}

// rank returns this entry's candidate rank for a pool: the number of live entries that are
// better candidates.
func (p *peers) rank(pool endive.PoolName) int {
	own := p.ownRow()
	hash := endive.Rendezvous(p.cell.Settings.Name, string(pool))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.discovered {
		return len(p.rows) + undiscoveredRank
	}
	better, judgedAt := 0, p.judgedAt(p.cell.Clock.Now())
	for id, row := range p.rows {
		if id == p.cell.Settings.Name || !row.isLive(judgedAt) {
			continue
		}
		if row.betterHolderThan(own) || !own.betterHolderThan(row) && endive.Rendezvous(id, string(pool)) > hash {
			better++
		}
	}
	return better
}

// candidates returns the other live entries, the best candidates for a pool first. The
// caller holds the lock.
func (p *peers) candidates(pool endive.PoolName) []endive.EntryID {
	now := p.judgedAt(p.cell.Clock.Now())
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

// inOwnRegion reports whether an entry is known to be in this entry's region.
func (p *peers) inOwnRegion(id endive.EntryID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[id].Region == p.cell.Settings.Region
}

// regionZones returns a function that reports whether a zone is known to be in the region of
// an entry.
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

// linkedCandidates returns the linked entries with more than 1/transferFactor of this entry's
// cores, or all linked entries if there are none, the best candidates for a pool first.
func (p *peers) linkedCandidates(pool endive.PoolName) []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	ownCores := p.cell.Settings.Limits.Cores
	var similar, weaker []endive.EntryID
	for _, id := range p.candidates(pool) {
		switch {
		case !p.linked[id]:
		case p.rows[id].Cores*transferFactor > ownCores:
			similar = append(similar, id)
		default:
			weaker = append(weaker, id)
		}
	}
	if len(similar) == 0 {
		return weaker
	}
	return similar
}

// successors returns the linked entries that may hold a pool after this one, the best
// first. Among equal candidates the one that started last comes first: in a rolling restart
// it has already been restarted.
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

// transferTarget returns the best candidate for a pool among the linked entries that hold no
// pool, if it has at least transferFactor times the cores of this entry.
func (p *peers) transferTarget(pool endive.PoolName, holders map[endive.EntryID]bool) (endive.EntryID, bool) {
	ownCores := p.cell.Settings.Limits.Cores
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.candidates(pool) {
		if p.rows[id].Cores < transferFactor*ownCores {
			return "", false
		}
		if p.linked[id] && !holders[id] {
			return id, true
		}
	}
	return "", false
}
