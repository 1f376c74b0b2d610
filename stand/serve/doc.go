// Package serve is the HTTP server of a simulated service. It injects the faults
// that are switched on for the service.
package serve
