package cell

import (
	"time"

	"endiveroute.example/endive"
)

// Each entry renews its row every few seconds. If each entry also read the rows of all others that
// often, the bytes from the store would grow with the square of the entries. An entry that won't
// hold a pool soon needs the rows only for its links, so it reads them the more rarely the more
// entries there are.

// entriesPerReadSecond is the number of entries for which a second is added to the period in which
// an entry that won't hold a pool soon reads the rows of the others.
const entriesPerReadSecond = 25

// entriesReadPeriod returns the period between two reads of the rows of a number of entries.
// frequent is true for holders, for the next candidates and for entries that are still
// discovering the others.
func entriesReadPeriod(entries int, frequent bool) time.Duration {
	period := entriesPollPeriod
	if entries > fullMeshSize {
		period = manyEntriesSlowdown * entriesPollPeriod
	}
	if frequent {
		return period
	}
	return max(period, time.Duration(entries/entriesPerReadSecond)*time.Second)
}

// readPeriod returns the period between two reads of the other entries' rows.
func (p *peers) readPeriod() time.Duration {
	frequent := p.cell.mayHoldSoon() || p.holderUnknown()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rowsPeriod = entriesReadPeriod(len(p.rows), frequent || !p.discovered)
	return p.rowsPeriod
}

// judgedAt returns the time as of which it is judged which rows are live. The caller holds the lock.
func (p *peers) judgedAt(now time.Time) endive.PlatformTime {
	return liveAsOf(p.cell.Platform.AtLeast(now), p.rowsReadAt, p.rowsPeriod)
}

// holderUnknown reports whether an entry without a known row holds a pool.
func (p *peers) holderUnknown() bool {
	holders := p.cell.holders()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range holders {
		if _, known := p.rows[id]; id != "" && !known {
			return true
		}
	}
	return false
}

// liveAsOf returns the time at which the rows are judged: the time of the last read if that isn't
// longer ago than the read period, since a row can't be newer.
func liveAsOf(now, readAt endive.PlatformTime, period time.Duration) endive.PlatformTime {
	return max(min(now, readAt), now-endive.PlatformTime(period.Milliseconds()))
}
