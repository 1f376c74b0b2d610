// Package gauge serves the metrics of a tally scope as a page of plain text.
package gauge
