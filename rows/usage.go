package rows

import "endiveroute.example/endive"

// UsagePrefix is the common prefix of the keys of all Usage rows.
const UsagePrefix = "usage/"

// Usage is the resources that the tasks of each team with a quota use in one slice. The
// slice's holder writes it so that other holders can add it up: a quota limits the sum over
// all slices.
type Usage struct {
	Teams map[endive.TeamName]endive.Resources `json:"teams"`
}

// UsageKey returns the key of a slice's Usage.
func UsageKey(slice endive.SliceID) string { return UsagePrefix + string(slice) }
