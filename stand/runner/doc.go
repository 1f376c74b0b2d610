// Package runner simulates workers that run tasks under leases. A journal counts
// the starts and ends of each task on each worker.
package runner
