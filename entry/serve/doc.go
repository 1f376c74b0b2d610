// Package serve implements the HTTP handlers of an entry for clients, operators
// and the platform's load balancer. The handlers validate the input and pass the
// calls to a Backend.
package serve
