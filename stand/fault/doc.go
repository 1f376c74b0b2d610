// Package fault stores the faults that the simulated platform services, workers
// and executors inject while they run.
package fault
