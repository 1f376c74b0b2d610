package cell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/flow"
)

// leaseLoop follows the leases of all pools.
type leaseLoop struct{ cell *Cell }

func (l *leaseLoop) run() {
	var after endive.Revision
	for l.cell.ctx.Err() == nil {
		l.cell.pause(time.Duration(l.cell.Settings.Timings.Poll))
		if after == 0 {
			after = l.readAll()
			continue
		}
		changes, err := l.follow(after)
		if endive.ErrHistoryLost.Has(err) {
			after = 0
			continue
		}
		if err != nil {
			continue
		}
		after = changes.Revision
		for _, row := range changes.Rows {
			l.saw(row)
		}
	}
}

// readAll reads the lease of each pool, and returns the revision to follow after.
func (l *leaseLoop) readAll() endive.Revision {
	for _, p := range l.cell.allPools() {
		p.look()
	}
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	scan, err := l.cell.Rows.Scan(ctx, elect.Table+"//", 0)
	if err != nil {
		return 0
	}
	return scan.Revision
}

func (l *leaseLoop) follow(after endive.Revision) (endive.Changes, error) {
	ctx, cancel := context.WithTimeout(l.cell.ctx, time.Duration(l.cell.Settings.Timings.StoreTimeout))
	defer cancel()
	return l.cell.Rows.Follow(ctx, elect.Table+"/", after, 0)
}

func (l *leaseLoop) saw(row endive.Row) {
	for _, p := range l.cell.allPools() {
		switch row.Key {
		case elect.Key(p.name):
			p.sawLease(row)
		case flow.StatusKey(p.name):
			p.sawStatus(row)
		}
	}
}
