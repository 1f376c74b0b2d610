// Package report writes the measurements of a load as tables, as JSON and as a plot.
package report
