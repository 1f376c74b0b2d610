package lease

// stage is the stage of acquiring, holding or handing over a slice.
type stage int

const (
	// stageNotHeld means that this entry doesn't hold the slice and only observes its rows.
	stageNotHeld stage = iota
	// stageAcquiring means that the transaction that acquires the slice is in flight.
	stageAcquiring
	// stageAssigned means that the previous holder named this entry as the successor. This
	// entry holds the slice only after it has renewed the lease.
	stageAssigned
	// stageHeld means that this entry holds the slice.
	stageHeld
	// stageReleasing means that the slice's state machine is ending its operations.
	stageReleasing
	// stageReleased means that the slice can be handed over.
	stageReleased
	// stageTransferring means that the transaction that names the successor is in flight.
	stageTransferring
	// stageTransferred means that this entry waits for the successor to accept the slice.
	stageTransferred
)
