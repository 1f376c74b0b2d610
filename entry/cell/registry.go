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
	// Cores is how much processor the entry has, WayMillis how far it is from the
	// store.
	Cores     float64 `json:"cores"`
	WayMillis int64   `json:"wayMillis"`
}

// wayStep is the difference in distance to the store below which two entries are
// equally near.
const wayStep = 20

// suitsBetter reports whether an entry is better placed to hold a pool than
// another: a holder needs processor time, and asks the store often.
func (r entryRow) suitsBetter(o entryRow) bool {
	if r.Cores != o.Cores {
		return r.Cores > o.Cores
	}
	return r.WayMillis/wayStep < o.WayMillis/wayStep
}

// register writes this entry's row, and deletes those of entries that are gone.
func (p *peers) register(now time.Time) bool {
	settings := p.cell.Settings
	at := p.cell.Platform.AtLeast(now)
	value, err := json.Marshal(entryRow{
		Address: settings.Listen.Peers, Incarnation: p.cell.Incarnation, Region: settings.Region, Zone: settings.Zone, At: at,
		Cores: settings.Limits.Cores, WayMillis: p.cell.Rows.distance().Milliseconds(),
	})
	if err != nil {
		p.cell.Log.Error("the entry's row can't be encoded", "error", err.Error())
		return false
	}
	txn := endive.Transaction{Writes: []endive.Write{{Key: prefixEntries + string(settings.Name), Value: value}}}
	for _, id := range p.olderThan(at, forgottenAge) {
		txn.Writes = append(txn.Writes, endive.Write{Key: prefixEntries + string(id), Delete: true})
	}
	return p.cell.commit(p.cell.ctx, txn) == nil
}

// olderThan returns the entries whose rows weren't renewed for so long.
func (p *peers) olderThan(at endive.PlatformTime, age time.Duration) []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []endive.EntryID
	for id, row := range p.rows {
		if row.At+endive.PlatformTime(age.Milliseconds()) < at {
			old = append(old, id)
		}
	}
	return old
}

// follow takes in the rows of other entries that changed, and returns the revision
// to go on from.
func (p *peers) follow(after endive.Revision) endive.Revision {
	ctx, cancel := context.WithTimeout(p.cell.ctx, time.Duration(p.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	changes, err := p.cell.Rows.Scan(ctx, prefixEntries, after)
	if endive.ErrHistoryLost.Has(err) {
		return 0
	}
	if err != nil {
		return after
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if after == 0 {
		clear(p.rows)
	}
	for _, row := range changes.Rows {
		p.takeRow(row)
	}
	p.known = p.known || after > 0 || len(p.rows) > 1
	return changes.Revision
}

func (p *peers) takeRow(row endive.Row) {
	id := endive.EntryID(row.Key[len(prefixEntries):])
	var read entryRow
	if row.Deleted {
		delete(p.rows, id)
		return
	}
	if err := json.Unmarshal(row.Value, &read); err != nil {
		p.cell.Log.Warn("the row of an entry can't be read", "entry", string(id), "error", err.Error())
		return
	}
	p.rows[id] = read
}

// place returns how many living entries suit a pool better than this one.
func (p *peers) place(pool endive.PoolName) int {
	now := p.cell.Platform.AtLeast(p.cell.Clock.Now())
	own := entryRow{Cores: p.cell.Settings.Limits.Cores, WayMillis: p.cell.Rows.distance().Milliseconds()}
	rank := endive.Rendezvous(p.cell.Settings.Name, string(pool))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return len(p.rows) + unknownPlace
	}
	better := 0
	for id, row := range p.rows {
		if id == p.cell.Settings.Name || row.At+endive.PlatformTime(entryAge.Milliseconds()) < now {
			continue
		}
		if row.suitsBetter(own) || !own.suitsBetter(row) && endive.Rendezvous(id, string(pool)) > rank {
			better++
		}
	}
	return better
}

// rarity is how many times rarer an entry polls than one of a few, so that many
// entries don't cost the store many times as much.
func (p *peers) rarity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rows) > fullMesh {
		return manyRarity
	}
	return 1
}

// manyRarity is the rarity where there are many entries.
const manyRarity = 3

// unknownPlace is the place of an entry that doesn't know the others yet, which
// gives them the time to register when all start at once.
const unknownPlace = 24
