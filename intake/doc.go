// Package intake accepts jobs and cancellations at any entry. It records them
// in the table service before it answers, and notifies the holder of the slice.
package intake
