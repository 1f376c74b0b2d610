// Package admin handles the requests to the control listener of the simulated
// services: it returns their counts, switches faults and edits the instance list.
package admin
