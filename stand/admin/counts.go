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

// Counts are the counts of all simulated services, workers and executors.
type Counts struct {
	Table   rows.Counts  `json:"table"`
	Objects blobs.Counts `json:"objects"`
	// ListReads is the number of reads of the instance list.
	ListReads int           `json:"listReads"`
	Workers   runner.Counts `json:"workers"`
	// Services are the counts over all executors of a service.
	Services map[endive.ServiceName]execs.ServiceCounts `json:"services"`
	// Parts are the counts over all listeners of a part.
	Parts     map[fault.Part]serve.Counts                `json:"parts"`
	Executors map[endive.ExecutorID]execs.ExecutorCounts `json:"executors"`
}

// Counter returns the counts.
type Counter interface {
	// Counts returns the counts; without detail, only the sums.
	Counts(detail bool) Counts
}
