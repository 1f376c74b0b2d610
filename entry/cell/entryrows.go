package cell

import (
	"encoding/json"
	"time"

	"endiveroute.example/endive"
)

// entryRow is the row in which an entry registers itself.
type entryRow struct {
	Address     endive.Address      `json:"address"`
	Incarnation endive.Incarnation  `json:"incarnation"`
	Region      endive.Region       `json:"region"`
	Zone        endive.Zone         `json:"zone"`
	At          endive.PlatformTime `json:"at"`
	// Cores is the entry's processor capacity. StoreLatencyMillis is the minimum latency of
	// the entry's calls to the store.
	Cores              float64 `json:"cores"`
	StoreLatencyMillis int64   `json:"wayMillis"`
	// StartTime is the start time of the entry's process.
	StartTime endive.PlatformTime `json:"started,omitempty"`
}

// peer converts the row of an entry to an endive.Peer.
func (r entryRow) peer(id endive.EntryID) endive.Peer {
	return endive.Peer{ID: id, Incarnation: r.Incarnation, Address: r.Address, Region: r.Region, Zone: r.Zone}
}

// register renews this entry's row and deletes the rows older than entryRetention.
func (p *peers) register() bool {
	own := p.ownRow()
	p.mu.Lock()
	if p.startTime == 0 {
		p.startTime = own.At
	}
	own.StartTime = p.startTime
	p.mu.Unlock()
	value, err := json.Marshal(own)
	if err != nil {
		p.cell.Log.Error("can't encode the entry's registration row", "error", err.Error())
		return false
	}
	txn := endive.Transaction{Writes: []endive.Write{{Key: entriesPrefix + string(p.cell.Settings.Name), Value: value}}}
	for _, id := range p.expiredEntries(own.At, entryRetention) {
		txn.Writes = append(txn.Writes, endive.Write{Key: entriesPrefix + string(id), Delete: true})
	}
	return p.cell.commit(p.cell.ctx, txn) == nil
}

// expiredEntries returns the entries whose rows are older than the given age; none if this entry
// reads the rows so rarely that they may have been renewed since.
func (p *peers) expiredEntries(at endive.PlatformTime, age time.Duration) []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rowsPeriod > manyEntriesSlowdown*entriesPollPeriod {
		return nil
	}
	var expired []endive.EntryID
	for id, row := range p.rows {
		if row.At+endive.PlatformTime(age.Milliseconds()) < at {
			expired = append(expired, id)
		}
	}
	return expired
}

// readEntries reads the entry rows that changed after a revision, and returns the revision
// for the next call.
func (p *peers) readEntries(after endive.Revision) endive.Revision {
	ctx := endive.WithStallTimeout(p.cell.ctx, p.cell.Settings.Timings.StoreTimeout)
	for {
		changes, err := p.cell.Store.Scan(ctx, entriesPrefix, after)
		if endive.ErrHistoryLost.Has(err) {
			return 0
		}
		if err != nil {
			return after
		}
		p.applyChanges(changes, after == 0)
		after = changes.Revision
		if !changes.More {
			return after
		}
	}
}

// applyChanges updates the known entry rows: it replaces all rows if the changes are complete,
// else only the changed ones.
func (p *peers) applyChanges(changes endive.Changes, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if complete {
		clear(p.rows)
	}
	for _, row := range changes.Rows {
		p.applyRow(row)
	}
	p.rowsReadAt = p.cell.Platform.AtLeast(p.cell.Clock.Now())
	p.updateDiscovered()
}

func (p *peers) applyRow(row endive.Row) {
	id := endive.EntryID(row.Key[len(entriesPrefix):])
	var entry entryRow
	if row.Deleted {
		delete(p.rows, id)
		return
	}
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		p.cell.Log.Warn("can't decode the registration row of an entry", "entry", string(id), "error", err.Error())
		return
	}
	p.rows[id] = entry
}

// pollSlowdown returns the factor by which an entry lengthens its poll periods. It is above 1
// with many entries, to limit their load on the store.
func (p *peers) pollSlowdown() int {
	if p.count() > fullMeshSize {
		return manyEntriesSlowdown
	}
	return 1
}

// count returns the number of known entries.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.rows)
}

// manyEntriesSlowdown is the value of pollSlowdown above fullMeshSize entries.
const manyEntriesSlowdown = 3
