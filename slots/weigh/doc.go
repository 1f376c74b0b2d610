// Package weigh contains only tests. They run the router with each
// implementation of endive.Slots on virtual time and compare the results.
package weigh
