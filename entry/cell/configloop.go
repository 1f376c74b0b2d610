package cell

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
)

const (
	// configPollWait is the maximum wait of one long poll for a new configuration.
	configPollWait = endive.Interval(1500 * time.Millisecond)
	// retryDelay is the pause after a failed request.
	retryDelay = 150 * time.Millisecond
)

// configLoop polls for the operators' configuration, at the store or at a reader. It never replaces a newer version by
// an older one.
type configLoop struct {
	cell   *Cell
	latest atomic.Pointer[endive.CellConfig]
	// confirmedAt is the latest time at which the store surely had no newer version than
	// latest; nil before the first read.
	confirmedAt atomic.Pointer[time.Time]
	// revision is a revision of the store for which latest was read. Only run writes it.
	revision atomic.Uint64
	// updates notifies other entries' requests of each confirmation.
	updates configUpdates
	// asking is locked while a request to another entry has no answer yet.
	asking sync.Mutex
	// receivedAt is when bytes of the read in progress were last received; nil before the first,
	// and after the read.
	receivedAt atomic.Pointer[time.Time]
	// encoder encodes the configuration for other entries.
	encoder configEncoder
	// failedReads counts the failed reads since the last that succeeded.
	failedReads int
}

// current returns the newest configuration, or nil before the first is read.
func (l *configLoop) current() *endive.CellConfig { return l.latest.Load() }

// age returns how long ago the current configuration was confirmed to be the newest; before
// the first read, a time longer than any limit.
func (l *configLoop) age() time.Duration {
	confirmedAt := l.confirmedAt.Load()
	if confirmedAt == nil {
		return time.Duration(math.MaxInt64)
	}
	return l.cell.Clock.Now().Sub(*confirmedAt)
}

// confirm records that the current configuration was the newest at the given time.
func (l *configLoop) confirm(at time.Time) {
	for {
		old := l.confirmedAt.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if l.confirmedAt.CompareAndSwap(old, &at) {
			l.updates.notify()
			return
		}
	}
}

// BytesReceived implements endive.ReadObserver.
func (l *configLoop) BytesReceived() {
	now := l.cell.Clock.Now()
	l.receivedAt.Store(&now)
}

// receiving reports whether a read of the configuration is making progress.
func (l *configLoop) receiving() bool {
	receivedAt := l.receivedAt.Load()
	return receivedAt != nil && l.cell.Clock.Now().Sub(*receivedAt) < time.Duration(l.cell.Settings.Timings.StoreTimeout)
}

func (l *configLoop) run() {
	follower := newConfigFollower(l)
	for l.cell.ctx.Err() == nil {
		if !follower.follow() {
			l.readStore()
		}
	}
}

// readStore does one long poll of the store.
func (l *configLoop) readStore() {
	sentAt := l.cell.Clock.Now()
	defer l.receivedAt.Store(nil)
	response, err := l.fetch(endive.Revision(l.revision.Load()))
	if endive.ErrHistoryLost.Has(err) {
		l.revision.Store(0)
		return
	}
	if err != nil {
		l.logFailure(sentAt, err)
		l.cell.sleep(retryDelay)
		return
	}
	l.logRecovery(sentAt)
	if response.Config != nil {
		l.apply(response.Config)
		l.logFindings(response)
	}
	if l.current() == nil {
		l.cell.sleep(retryDelay)
		return
	}
	l.advance(response.Revision)
	l.confirm(endive.Latest(sentAt, l.answeredAt(response)))
}

// advance records that the current configuration is at least as new as a revision of the store.
func (l *configLoop) advance(revision endive.Revision) {
	if current := l.revision.Load(); uint64(revision) > current {
		l.revision.Store(uint64(revision))
	}
}

// failuresPerLogLine is the number of failed reads in a row for which one line is logged.
const failuresPerLogLine = 10

func (l *configLoop) logFailure(sentAt time.Time, err error) {
	if l.failedReads%failuresPerLogLine == 0 {
		l.cell.Log.Warn("can't read the configuration", "tookMillis", millisSince(l.cell.Clock.Now(), sentAt), "failedBefore", l.failedReads, "error", err.Error())
	}
	l.failedReads++
}

func (l *configLoop) logRecovery(sentAt time.Time) {
	if l.failedReads > 0 {
		l.cell.Log.Info("the configuration can be read again", "tookMillis", millisSince(l.cell.Clock.Now(), sentAt), "failedBefore", l.failedReads)
	}
	l.failedReads = 0
}

// answeredAt returns the earliest time at which the store can have given an answer; zero if it
// isn't known. A long poll is answered long after it was sent.
func (l *configLoop) answeredAt(response endive.ConfigResponse) time.Time {
	if response.Now == 0 {
		return time.Time{}
	}
	return endive.Earliest(l.cell.Clock.Now(), l.cell.Platform.Earliest(response.Now))
}

func (l *configLoop) fetch(after endive.Revision) (endive.ConfigResponse, error) {
	ctx := endive.WithStallTimeout(l.cell.ctx, l.cell.Settings.Timings.StoreTimeout)
	ctx = endive.WithReadObserver(ctx, l)
	return l.cell.Directory.Config(ctx, after, l.pollWait())
}

// pollWait returns the maximum wait of one long poll. With strict keys, the configuration has to be
// confirmed well before it is too old.
func (l *configLoop) pollWait() endive.Interval {
	bounds := l.cell.Settings.Bounds
	if !bounds.StrictKeys {
		return configPollWait
	}
	return min(configPollWait, bounds.MaxKeyAge/2)
}

func (l *configLoop) apply(config *endive.CellConfig) {
	for {
		current := l.latest.Load()
		if current != nil && config.Version <= current.Version {
			return
		}
		if l.latest.CompareAndSwap(current, config) {
			break
		}
	}
	l.cell.Log.Info("configuration applied", "version", int64(config.Version), "queues", len(config.Queues), "pools", len(config.Pools),
		"accounts", len(config.Accounts.All()))
	l.cell.addConfiguredPools(config)
}

// maxLoggedFindings limits the findings about one configuration in the log.
const maxLoggedFindings = 20

func (l *configLoop) logFindings(response endive.ConfigResponse) {
	for _, finding := range response.Findings[:min(len(response.Findings), maxLoggedFindings)] {
		l.cell.Log.Warn("part of the configuration is left out", "version", int64(response.Config.Version), "finding", finding.String())
	}
}
