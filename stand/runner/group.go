package runner

import (
	"context"
	"sync"
	"time"
)

// checkInterval is the interval between two checks for due attempts.
const checkInterval = 5 * time.Millisecond

// Group periodically ends the due attempts of a set of workers.
type Group struct {
	workers []*Worker
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// NewGroup starts a goroutine that checks the workers until Close is called.
func NewGroup(workers []*Worker) *Group {
	ctx, stop := context.WithCancel(context.Background())
	g := &Group{workers: workers, stop: stop}
	g.done.Add(1)
	go g.loop(ctx)
	return g
}

// Close stops the checks and waits for the goroutine to end.
func (g *Group) Close() {
	g.stop()
	g.done.Wait()
}

func (g *Group) loop(ctx context.Context) {
	defer g.done.Done()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, w := range g.workers {
				w.EndDueAttempts()
			}
		case <-ctx.Done():
			return
		}
	}
}
