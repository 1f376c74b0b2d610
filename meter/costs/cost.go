package costs

// Cost is the cost of the control plane between two snapshots.
type Cost struct {
	Seconds float64 `json:"seconds"`
	Entries int     `json:"entries"`
	// PeerMessages and PeerBytes count the traffic between entries, and
	// CrossRegionBytes counts those of the bytes that went between regions.
	PeerMessages     float64 `json:"peerMessages"`
	PeerBytes        float64 `json:"peerBytes"`
	CrossRegionBytes float64 `json:"crossBytes"`
	// StepSeconds is the time that the entries' state machines spent in Steps steps.
	StepSeconds float64 `json:"stepSeconds"`
	Steps       float64 `json:"steps"`
	// ProcessSeconds is the processor time of the entries, including the time
	// spent on requests, and MaxMemory is the largest resident memory of an
	// entry at the end, in bytes.
	ProcessSeconds float64 `json:"processSeconds"`
	MaxMemory      float64 `json:"mostMemory"`
	// TableReads and TableWrites count calls of the table service.
	TableReads  int `json:"tableReads"`
	TableWrites int `json:"tableWrites"`
	// Missing holds the errors of failed reads. If any read failed, the cost is
	// partial.
	Missing []string `json:"missing,omitempty"`
}

// Between returns the cost between two snapshots.
func Between(before, after Snapshot) Cost {
	cost := Cost{
		Seconds: after.At.Sub(before.At).Seconds(), Entries: len(after.Metrics),
		Missing: append(append([]string(nil), before.Missing...), after.Missing...),
	}
	const micros = 1e-6
	cost.addScaled(before, -1)
	cost.addScaled(after, 1)
	cost.StepSeconds *= micros
	cost.ProcessSeconds *= micros
	for _, page := range after.Metrics {
		cost.MaxMemory = max(cost.MaxMemory, page["processMemoryBytes"])
	}
	if before.Counts != nil && after.Counts != nil {
		cost.TableReads = after.Counts.tableReads() - before.Counts.tableReads()
		cost.TableWrites = after.Counts.tableWrites() - before.Counts.tableWrites()
	}
	return cost
}

// addScaled adds the values of a snapshot, multiplied by factor.
func (c *Cost) addScaled(snapshot Snapshot, factor float64) {
	for _, page := range snapshot.Metrics {
		c.PeerMessages += factor * page.Sum("peerMessages")
		c.PeerBytes += factor * page.Sum("peerBytes")
		c.CrossRegionBytes += factor * page.Sum("peerBytes", `crossRegion="yes"`)
		c.StepSeconds += factor * page.Sum("stepMicroseconds")
		c.ProcessSeconds += factor * page.Sum("processMicroseconds")
		c.Steps += factor * page.Sum("steps")
	}
}
