package cell

import (
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// The store may turn some entries away while it serves the operators and the other entries. An
// entry that can't read the configuration asks the other entries for it, so that withdrawn keys
// and removed queues aren't served from here for longer than from there.

const (
	// peerConfigPeriod is the period in which an entry that can't read the store asks other
	// entries for a newer configuration.
	peerConfigPeriod = 500 * time.Millisecond
	// peerConfigTimeout limits the wait for the answer.
	peerConfigTimeout = 400 * time.Millisecond
	// slowFetchTime is how much longer than its wait a long poll may take before the store
	// counts as unreadable.
	slowFetchTime = 300 * time.Millisecond
)

// peerConfigLoop requests the configuration from other entries while the store isn't readable.
type peerConfigLoop struct {
	cell *Cell
	// asked counts the requests, to ask the linked entries in turn.
	asked int
}

func (l *peerConfigLoop) run() {
	for l.cell.ctx.Err() == nil {
		l.cell.sleep(peerConfigPeriod)
		if l.needed() {
			l.askNext()
		}
	}
}

// needed reports whether the configuration can't be read from the store. An entry that hasn't
// read one since its start doesn't ask, since the other entry's may be outdated.
func (l *peerConfigLoop) needed() bool {
	return l.cell.config.current() != nil && l.cell.config.age() > time.Duration(configPollWait)+slowFetchTime
}

// askNext asks the next linked entry.
func (l *peerConfigLoop) askNext() {
	entries := l.cell.peers.linkedEntries()
	if len(entries) == 0 {
		return
	}
	entry := entries[l.asked%len(entries)]
	l.asked++
	sentAt := l.cell.Clock.Now()
	ask := &wire.RelayAsk{Kind: wire.RelayKind_RELAY_CONFIG, ConfigVersion: int64(l.cell.config.current().Version)}
	answer := l.cell.relayClient.send(l.cell.ctx, entry, ask, peerConfigTimeout)
	l.cell.Log.Info("asked another entry for the configuration", "entry", string(entry), "answered", answer != nil,
		"bytes", len(answer.GetConfig()), "tookMillis", millisSince(l.cell.Clock.Now(), sentAt), "ageMillis", l.cell.config.age().Milliseconds())
	if answer.GetStatus() != wire.RelayStatus_RELAY_DONE {
		return
	}
	if len(answer.GetConfig()) > 0 {
		var config endive.CellConfig
		if err := json.Unmarshal(answer.GetConfig(), &config); err != nil {
			l.cell.Log.Warn("can't decode the configuration of another entry", "entry", string(entry), "error", err.Error())
			return
		}
		l.cell.config.apply(&config)
	}
	l.cell.config.confirm(sentAt.Add(-time.Duration(answer.GetConfirmedMillisAgo()) * time.Millisecond))
}

// answerConfigRequest returns the answer to another entry that has a version of the
// configuration. It doesn't confirm a version that is newer than this entry's own.
func (c *Cell) answerConfigRequest(version endive.ConfigVersion) *wire.RelayAnswer {
	age := c.config.age()
	config := c.config.current()
	if config == nil || config.Version < version {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "this entry has no newer configuration"}
	}
	answer := &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_DONE, ConfirmedMillisAgo: age.Milliseconds() + 1}
	if config.Version == version {
		return answer
	}
	encoded, err := json.Marshal(config)
	if err != nil {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the configuration cannot be encoded: " + err.Error()}
	}
	answer.Config = encoded
	return answer
}
