package lease

// stage says how far this entry is with a slice.
type stage int

const (
	// stageNotHeld leaves the slice to others and watches it.
	stageNotHeld stage = iota
	// stageAcquiring waits for the transaction that takes the slice.
	stageAcquiring
	// stageAssigned was handed the slice and must renew the lease before it holds.
	stageAssigned
	// stageHeld holds the slice.
	stageHeld
	// stageReleasing waits until the holder machine has stopped.
	stageReleasing
	// stageReleased may be handed over.
	stageReleased
	// stageTransferring waits for the transaction that names the successor.
	stageTransferring
	// stageTransferred waits for the successor's answer.
	stageTransferred
)
