package ticket

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// entriesPoll is how often the entries' rows are read while no ticket waits
	// for them.
	entriesPoll = endive.Interval(10 * time.Second)
	// registerPolls is how many polls an entry tries to register before it asks
	// its peers for a state to use meanwhile.
	registerPolls = 3
	// asksPerPoll is how many peers are asked for their state at a time.
	asksPerPoll = 2
)

// poll asks the table, and the peers where the table doesn't answer.
func (k *Keeper) poll(now time.Time) []endive.Action {
	var actions []endive.Action
	if k.newest > k.contents.held() && k.newest > k.sought {
		k.sought = k.newest
		actions = append(actions, k.askConfig(now)...)
	}
	if now.Before(k.nextPoll) {
		return actions
	}
	// A scan that a notice began just now isn't late.
	since := (-k.settings.PollInterval / 2).After(now)
	k.nextPoll = k.settings.PollInterval.After(now)
	actions = append(actions, k.askConfig(now)...)
	k.unregistered++
	if k.standing.registered {
		k.unregistered = 0
	}
	if k.config.Late(since) || k.unregistered >= registerPolls {
		actions = append(actions, k.askPeers(now)...)
	}
	if k.waiting() || !k.standing.registered || !now.Before(k.nextEntries) {
		k.nextEntries = entriesPoll.After(now)
		_, more := k.entries.Ask(now)
		actions = append(actions, more...)
	}
	return append(actions, k.notifyAgain()...)
}

// askConfig asks the table for changes of the configuration.
func (k *Keeper) askConfig(now time.Time) []endive.Action {
	_, actions := k.config.Ask(now)
	return actions
}

// scanned takes the answer to a scan.
func (k *Keeper) scanned(now time.Time, e endive.Scanned) []endive.Action {
	switch e.Prefix {
	case configPrefix:
		return k.configScanned(now, e)
	case entryPrefix:
		return k.entriesScanned(now, e)
	}
	return nil
}

// configScanned takes over changes of the configuration, which also proves it.
func (k *Keeper) configScanned(now time.Time, e endive.Scanned) []endive.Action {
	sent, ok := k.config.Take(e)
	if !ok {
		return k.config.Repeat(now)
	}
	var actions []endive.Action
	var newest endive.Revision
	for _, row := range e.Changes.Rows {
		key, got, err := decodeConfigRow(row)
		newest = max(newest, row.Revision)
		if err != nil {
			k.contents.unreadable[key] = row.Revision
			actions = append(actions, k.decision(string(key), "unreadable", err.Error()))
			continue
		}
		k.contents.merge(key, got)
	}
	k.contents.complete(newest)
	if k.config.Answered() >= k.standing.proof {
		k.standing.complete(now, k.settings.Contact)
	}
	if k.standing.registered {
		k.standing.prove(sent, k.settings.Contact)
	}
	return append(actions, k.config.Repeat(now)...)
}

// entriesScanned takes over who is registered.
func (k *Keeper) entriesScanned(now time.Time, e endive.Scanned) []endive.Action {
	if _, ok := k.entries.Take(e); !ok {
		return k.entries.Repeat(now)
	}
	k.registry.merge(e.Changes.Rows)
	own, ok := k.registry.rows[k.self]
	k.standing.version = 0
	if ok {
		k.standing.version = own.version
	}
	if !k.standing.written && (!ok || own.ended || own.incarnation == k.incarnation) {
		k.formerUntil = time.Time{}
	}
	return k.entries.Repeat(now)
}
