package endive

// EpochsPerTenure is the number of epochs of a tenure of a pool. The lease of the pool has the last of them, so that all
// epochs of the next tenure are higher, whichever build holds it.
const EpochsPerTenure Epoch = 32

// NextTenure returns the last epoch of the tenure after the one whose last epoch is e.
func (e Epoch) NextTenure() Epoch { return e + EpochsPerTenure }

// AfterRestarts returns the epoch of calls to a worker that has restarted n times during the tenure whose last epoch is
// e. A worker that has restarted knows no epoch. After a call with this one, it refuses calls that were sent to its former
// incarnations. Epochs don't suffice for EpochsPerTenure restarts or more.
func (e Epoch) AfterRestarts(n int) Epoch {
	if e < EpochsPerTenure {
		return e
	}
	return min(e, e-EpochsPerTenure+1+Epoch(n))
}
