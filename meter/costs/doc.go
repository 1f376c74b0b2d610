// Package costs measures the cost of the control plane from the metrics of the entries
// and the counts of the simulated services, read before and after a load.
package costs
