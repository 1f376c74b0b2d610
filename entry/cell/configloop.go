package cell

import (
	"context"
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

// configLoop polls for the operators' configuration. It never replaces a newer version by
// an older one.
type configLoop struct {
	cell   *Cell
	latest atomic.Pointer[endive.CellConfig]
}

// current returns the newest configuration, or nil before the first is read.
func (l *configLoop) current() *endive.CellConfig { return l.latest.Load() }

func (l *configLoop) run() {
	var after endive.Revision
	for l.cell.ctx.Err() == nil {
		response, err := l.fetch(after)
		if endive.ErrHistoryLost.Has(err) {
			after = 0
			continue
		}
		if err != nil {
			l.cell.sleep(retryDelay)
			continue
		}
		after = response.Revision
		if response.Config != nil {
			l.apply(response.Config)
		}
		if l.current() == nil {
			after = 0
			l.cell.sleep(retryDelay)
		}
	}
}

func (l *configLoop) fetch(after endive.Revision) (endive.ConfigResponse, error) {
	wait := time.Duration(configPollWait) + time.Duration(l.cell.Settings.Timings.StoreTimeout)
	ctx, cancel := context.WithTimeout(l.cell.ctx, wait)
	defer cancel()
	return l.cell.Directory.Config(ctx, after, configPollWait)
}

func (l *configLoop) apply(config *endive.CellConfig) {
	if current := l.current(); current != nil && config.Version <= current.Version {
		return
	}
	l.latest.Store(config)
	l.cell.Log.Info("configuration applied", "version", int64(config.Version), "queues", len(config.Queues), "pools", len(config.Pools))
	l.cell.addConfiguredPools(config)
}
