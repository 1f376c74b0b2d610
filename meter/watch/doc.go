// Package watch samples the utilization of workers while a load runs, and waits for the
// jobs of the load to end.
package watch
