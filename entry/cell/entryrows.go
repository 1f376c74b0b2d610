package cell

import (
	"context"
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
	// Cores is how much processor the entry has, StoreLatencyMillis how far it is from
	// the store.
	Cores              float64 `json:"cores"`
	StoreLatencyMillis int64   `json:"wayMillis"`
	// StartTime is when the entry's process began.
	StartTime endive.PlatformTime `json:"started,omitempty"`
}

// peer returns the entry of a row as a peer.
func (r entryRow) peer(id endive.EntryID) endive.Peer {
	return endive.Peer{ID: id, Incarnation: r.Incarnation, Address: r.Address, Region: r.Region, Zone: r.Zone}
}

// register writes this entry's row, and deletes those of entries that are gone.
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
		p.cell.Log.Error("the entry's row can't be encoded", "error", err.Error())
		return false
	}
	txn := endive.Transaction{Writes: []endive.Write{{Key: entriesPrefix + string(p.cell.Settings.Name), Value: value}}}
	for _, id := range p.expiredEntries(own.At, entryRetention) {
		txn.Writes = append(txn.Writes, endive.Write{Key: entriesPrefix + string(id), Delete: true})
	}
	return p.cell.commit(p.cell.ctx, txn) == nil
}

// expiredEntries returns the entries whose rows weren't renewed for so long.
func (p *peers) expiredEntries(at endive.PlatformTime, age time.Duration) []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []endive.EntryID
	for id, row := range p.rows {
		if row.At+endive.PlatformTime(age.Milliseconds()) < at {
			expired = append(expired, id)
		}
	}
	return expired
}

// readEntries takes in the rows of other entries that changed, and returns the revision
// to go on from.
func (p *peers) readEntries(after endive.Revision) endive.Revision {
	ctx, cancel := context.WithTimeout(p.cell.ctx, time.Duration(p.cell.Settings.Timings.StoreTimeout))
	defer cancel()
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

// applyChanges takes in rows of other entries, which are all that there are or those that
// changed.
func (p *peers) applyChanges(changes endive.Changes, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if complete {
		clear(p.rows)
	}
	for _, row := range changes.Rows {
		p.applyRow(row)
	}
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
		p.cell.Log.Warn("the row of an entry can't be read", "entry", string(id), "error", err.Error())
		return
	}
	p.rows[id] = entry
}

// pollSlowdown is how many times rarer an entry polls than one of a few, so that many
// entries don't cost the store many times as much.
func (p *peers) pollSlowdown() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rows) > fullMeshSize {
		return manyEntriesSlowdown
	}
	return 1
}

// manyEntriesSlowdown is the slowdown where there are many entries.
const manyEntriesSlowdown = 3
