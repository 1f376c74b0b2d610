package ticket

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// register writes this entry's row, or takes it back in a planned stop.
func (k *Keeper) register(now time.Time) []endive.Action {
	s := &k.standing
	if s.writing != "" || now.Before(s.retryAt) {
		return nil
	}
	if s.leaving {
		return k.unregister(now)
	}
	if s.written || k.entries.Answered() == 0 {
		return nil
	}
	s.writing = k.ids.Next()
	s.writtenAt = now
	return []endive.Action{writeEntry(s.writing, k.self, s.version, entryValue{Incarnation: k.incarnation})}
}

// unregister takes this entry's registration back, once no peer uses a state
// that it granted.
func (k *Keeper) unregister(now time.Time) []endive.Action {
	s := &k.standing
	if s.left || now.Before(k.grants.end()) {
		return nil
	}
	if s.version == 0 {
		s.left = true
		return []endive.Action{Unregistered{}}
	}
	s.writing = k.ids.Next()
	s.ending = true
	return []endive.Action{writeEntry(s.writing, k.self, s.version, entryValue{Ended: true})}
}

// registered takes the answer to the write of this entry's row.
func (k *Keeper) registered(now time.Time, e endive.Committed) []endive.Action {
	s := &k.standing
	if e.Status == endive.CommitUnknown {
		return nil
	}
	ending := s.ending
	s.writing, s.ending = "", false
	if e.Status != endive.CommitApplied {
		s.retryAt = k.settings.PollInterval.After(now)
		_, actions := k.entries.Ask(now)
		return actions
	}
	s.version = e.Result.Versions[0]
	if ending {
		s.left = true
		return []endive.Action{Unregistered{}}
	}
	s.written = true
	var actions []endive.Action
	s.proof, actions = k.config.Ask(now)
	return append(actions, k.decision("", "registered", fmt.Sprintf("row written at revision %d", e.Result.Revision)))
}

// remove takes back the registration of an entry that has been gone for long
// enough: it answers no callers any more, or would look first. The rows must
// have been read just now.
func (k *Keeper) remove(now time.Time) []endive.Action {
	if k.removing != "" || !k.standing.registered || !k.entries.Fresh(now, k.settings.PollInterval) {
		return nil
	}
	entry, ok := k.registry.removable(now, k.settings.Gone, k.settings.Unseen)
	if !ok {
		return nil
	}
	k.removing = k.ids.Next()
	row := k.registry.rows[entry]
	return []endive.Action{
		k.decision(string(entry), "unregister", "gone since "+now.Sub(row.goneSince).String()),
		writeEntry(k.removing, entry, row.version, entryValue{Incarnation: row.incarnation, Ended: true}),
	}
}

// entryRemoved takes the answer to a removal.
func (k *Keeper) entryRemoved(now time.Time, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	k.removing = ""

	_, actions := k.entries.Ask(now)
	return actions
}

// writeEntry returns the transaction that writes an entry's row, unless it
// changed meanwhile.
func writeEntry(id endive.WriteID, entry endive.EntryID, version endive.Version, value entryValue) endive.Commit {
	return endive.Commit{Transaction: endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: entryKey(entry), Version: version}},
		Writes:     []endive.Write{{Key: entryKey(entry), Value: value.encode()}},
	}}
}
