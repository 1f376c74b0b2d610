package endive

import "context"

// ConfigResponse is the result of polling the operators' configuration.
type ConfigResponse struct {
	// Config is nil if the configuration has not changed.
	Config *CellConfig
	// Findings are the parts of the configuration that are invalid and were left out.
	Findings Findings
	Revision Revision
	// Now is the platform's time as of the answer; 0 if it isn't known.
	Now PlatformTime
}

// WorkersResponse lists the changes in the list of workers.
type WorkersResponse struct {
	// Workers are the workers that registered or renewed their registration.
	Workers []FleetWorker
	// Removed are the workers whose registration was deleted or can't be parsed.
	Removed  []WorkerID
	Revision Revision
	// More is true if there may already be further changes after Revision.
	More bool
}

// Directory reads the operators' configuration and the workers' registrations from
// the platform. All errors are of class ErrUnavailable, or ErrHistoryLost if
// everything must be read again from revision 0.
type Directory interface {
	// Config returns the newest configuration if it changed after the given
	// revision. Unless after is 0, it waits up to wait for a change.
	Config(ctx context.Context, after Revision, wait Interval) (ConfigResponse, error)
	// Workers returns the worker registrations that changed after the given
	// revision; after revision 0 it returns all.
	Workers(ctx context.Context, after Revision) (WorkersResponse, error)
}
