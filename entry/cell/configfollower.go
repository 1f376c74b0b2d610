package cell

import (
	"math/rand/v2"
	"time"

	"endiveroute.example/endive"
)

const (
	// readerTimeout limits the wait for the answer of a reader that may wait for an update, and
	// nextReaderTimeout that of one that answers at once.
	readerTimeout     = maxConfigWait + 100*time.Millisecond
	nextReaderTimeout = 500 * time.Millisecond
	// receiverWait is how long a reader that is receiving a configuration may wait with its
	// answer.
	receiverWait = 300 * time.Millisecond
	// readerPause is how long an entry reads from the store after the readers failed.
	readerPause = endive.Interval(5 * time.Second)
	// maxStoreDelay limits the delay after which entries without a reader read from the store,
	// so that they don't all begin at once.
	maxStoreDelay = 250 * time.Millisecond
	// maxFirstReader limits the index of the first reader. It is far above their number.
	maxFirstReader = 1 << 16
)

// configFollower reads the configuration from the readers of this region.
type configFollower struct {
	loop *configLoop
	// reader is the index of the current reader, modulo their number.
	reader int
	// failed and receiving are those of sourceState.
	failed    int
	receiving bool
	// storeUntil is until when the entry reads from the store, after the readers failed.
	storeUntil time.Time
}

// newConfigFollower returns a follower whose first reader differs between the entries, so that
// the readers share the work.
func newConfigFollower(l *configLoop) *configFollower {
	first := endive.Rendezvous(l.cell.Settings.Name, "first reader") % maxFirstReader
	return &configFollower{loop: l, reader: int(first)}
}

// follow asks a reader, and reports whether there is one to ask. Otherwise the entry has to read
// from the store.
func (f *configFollower) follow() bool {
	cell := f.loop.cell
	readers := cell.peers.configReaders()
	state := sourceState{
		loaded: f.loop.current() != nil, strict: cell.Settings.Bounds.StrictKeys, readers: len(readers),
		failed: f.failed, receiving: f.receiving, age: f.loop.age(), paused: cell.Clock.Now().Before(f.storeUntil),
	}
	source := state.next()
	switch source {
	case sourceReader:
		f.ask(readers, maxConfigWait, readerTimeout)
	case sourceNextReader:
		f.ask(readers, 0, nextReaderTimeout)
	case sourceReceiver:
		f.ask(readers, receiverWait, receiverWait+nextReaderTimeout)
	case sourceStore:
		f.turnToStore()
		return false
	}
	return true
}

// turnToStore prepares for reads from the store after the readers failed.
func (f *configFollower) turnToStore() {
	if f.failed == 0 {
		return
	}
	f.failed, f.receiving = 0, false
	f.storeUntil = readerPause.After(f.loop.cell.Clock.Now())
	f.loop.cell.sleep(rand.N(maxStoreDelay))
}

// ask asks the current reader, and turns to the next if it didn't confirm the configuration.
func (f *configFollower) ask(readers []endive.EntryID, wait, timeout time.Duration) {
	cell := f.loop.cell
	sentAt := cell.Clock.Now()
	answer := (&configAsk{config: f.loop, entry: readers[f.reader%len(readers)], wait: endive.Interval(wait), timeout: endive.Interval(timeout)}).run()
	if answer != nil {
		f.loop.advance(endive.Revision(answer.GetConfigRevision()))
	}
	// A reader that waited for nothing may be unable to read the store.
	noUpdate := wait > 0 && answer.GetWaitedMillis() > wait.Milliseconds()
	if answer == nil || noUpdate || f.loop.age() > configAgeLimit {
		f.failed++
		f.reader++
		// A reader without an answer doesn't change that the one before is receiving.
		f.receiving = answer.GetReceiving() || answer == nil && f.receiving
		return
	}
	f.failed, f.receiving = 0, false
	if answer.GetWaitedMillis() == 0 {
		// An entry of an earlier build answers at once.
		cell.sleep(sentAt.Add(peerConfigPeriod).Sub(cell.Clock.Now()))
	}
}
