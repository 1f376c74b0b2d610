package cell

import (
	"context"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
)

const (
	// configWait is how long a question for a new configuration may wait.
	configWait = endive.Interval(1500 * time.Millisecond)
	// followRetry is the pause after a question that failed.
	followRetry = 150 * time.Millisecond
)

// configLoop follows the operators' configuration. A newer version is never
// replaced by an older one.
type configLoop struct {
	cell   *Cell
	newest atomic.Pointer[endive.CellConfig]
}

// current returns the newest configuration, or nil.
func (l *configLoop) current() *endive.CellConfig { return l.newest.Load() }

func (l *configLoop) run() {
	var after endive.Revision
	for l.cell.ctx.Err() == nil {
		news, err := l.next(after)
		if endive.ErrHistoryLost.Has(err) {
			after = 0
			continue
		}
		if err != nil {
			l.cell.pause(followRetry)
			continue
		}
		after = news.Revision
		if news.Config != nil {
			l.take(news.Config)
		}
		if l.current() == nil {
			after = 0
			l.cell.pause(followRetry)
		}
	}
}

func (l *configLoop) next(after endive.Revision) (endive.ConfigResponse, error) {
	wait := time.Duration(configWait) + time.Duration(l.cell.Settings.Timings.StoreTimeout)
	ctx, cancel := context.WithTimeout(l.cell.ctx, wait)
	defer cancel()
	return l.cell.Directory.Config(ctx, after, configWait)
}

func (l *configLoop) take(config *endive.CellConfig) {
	if old := l.current(); old != nil && config.Version <= old.Version {
		return
	}
	l.newest.Store(config)
	l.cell.Log.Info("configuration is in force", "version", int64(config.Version), "queues", len(config.Queues), "pools", len(config.Pools))
	l.cell.configured(config)
}
