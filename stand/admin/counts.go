package admin

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/blobs"
	"endiveroute.example/endive/stand/execs"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/rows"
	"endiveroute.example/endive/stand/runner"
	"endiveroute.example/endive/stand/serve"
)

// Counts is everything that the stand-ins count.
type Counts struct {
	Table   rows.Counts  `json:"table"`
	Objects blobs.Counts `json:"objects"`
	// ListReads is how often the instance list was read.
	ListReads int           `json:"listReads"`
	Workers   runner.Counts `json:"workers"`
	// Services are the counts over all executors of a service.
	Services map[endive.ServiceName]execs.ServiceCounts `json:"services"`
	// Parts are the counts of the listeners of each part together.
	Parts     map[fault.Part]serve.Counts                `json:"parts"`
	Executors map[endive.ExecutorID]execs.ExecutorCounts `json:"executors"`
}

// Counter collects the counts.
type Counter interface {
	// Counts returns what was counted; without detail, only the sums.
	Counts(detail bool) Counts
}
