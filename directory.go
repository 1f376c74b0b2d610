package endive

import "context"

// ConfigResponse is what is new of the operators' configuration.
type ConfigResponse struct {
	// Config is nil where nothing changed.
	Config   *CellConfig
	Revision Revision
}

// WorkersResponse is what is new of the list of workers.
type WorkersResponse struct {
	// Workers are those that registered or renewed their entry.
	Workers []FleetWorker
	// Removed are those whose entry is gone, or can't be read any more.
	Removed  []WorkerID
	Revision Revision
	// More says that there may be more news after Revision already.
	More bool
}

// Directory tells what the platform's operators and workers say. All errors are of
// class ErrUnavailable, or ErrHistoryLost where everything must be read again from
// revision 0.
type Directory interface {
	// Config returns the newest configuration, if it changed after a revision. It
	// waits for a change for as long as wait says, unless after is 0.
	Config(ctx context.Context, after Revision, wait Interval) (ConfigResponse, error)
	// Workers returns the entries of workers that changed after a revision; after
	// 0 it returns all.
	Workers(ctx context.Context, after Revision) (WorkersResponse, error)
}
