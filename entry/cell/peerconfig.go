package cell

import (
	"time"

	"endiveroute.example/endive"
)

// The store may turn some entries away while it serves the operators and the other entries. An
// entry that can't read the configuration asks the other entries for it, so that withdrawn keys
// and removed queues aren't served from here for longer than from there.

const (
	// peerConfigPeriod is the period in which an entry that can't read the store asks other
	// entries for a newer configuration.
	peerConfigPeriod = 500 * time.Millisecond
	// peerConfigTimeout limits the wait for the answer of an entry in this region, and
	// farConfigTimeout that of an entry in another: a large configuration takes a while on a
	// busy link, and would be sent again if the answer weren't awaited.
	peerConfigTimeout = 400 * time.Millisecond
	farConfigTimeout  = 1500 * time.Millisecond
	// nearConfigAsks is the number of entries of this region that are asked in a period before
	// one in another region.
	nearConfigAsks = 3
	// slowFetchTime is how much longer than its wait a long poll may take before the store
	// counts as unreadable.
	slowFetchTime = 300 * time.Millisecond
)

// peerConfigLoop requests the configuration from other entries while the store isn't readable.
type peerConfigLoop struct {
	cell *Cell
	// round counts the rounds of requests, to ask the linked entries in turn.
	round int
}

func (l *peerConfigLoop) run() {
	for l.cell.ctx.Err() == nil {
		l.cell.sleep(peerConfigPeriod)
		if l.needed() {
			l.askRound()
		}
	}
}

// needed reports whether the configuration can't be read from the store. An entry that hasn't
// read one since its start doesn't ask, since the other entry's may be outdated. One that is
// receiving one doesn't either: the answers would delay that on the same link.
func (l *peerConfigLoop) needed() bool {
	config := l.cell.config
	return config.current() != nil && !config.receiving() && config.age() > configAgeLimit
}

// configAgeLimit is the age of a configuration from which it counts as unconfirmed.
const configAgeLimit = time.Duration(configPollWait) + slowFetchTime

// askRound asks entries, one after another, until the configuration is confirmed.
func (l *peerConfigLoop) askRound() {
	near, far := l.cell.peers.linkedByRegion()
	for _, ask := range configAsks(near, far, l.round) {
		if !l.needed() {
			break
		}
		ask.config = l.cell.config
		ask.run()
	}
	l.round++
}

// configAsks returns the requests of one round: to nearConfigAsks entries of this region and
// then to one of another, beginning with other ones in each round.
func configAsks(near, far []endive.EntryID, round int) []configAsk {
	var asks []configAsk
	for i := range min(nearConfigAsks, len(near)) {
		asks = append(asks, configAsk{entry: near[(round*nearConfigAsks+i)%len(near)], timeout: endive.Interval(peerConfigTimeout)})
	}
	if len(far) > 0 {
		asks = append(asks, configAsk{entry: far[round%len(far)], timeout: endive.Interval(farConfigTimeout)})
	}
	return asks
}
