package costs

// Cost is what control has cost between two states.
type Cost struct {
	Seconds float64 `json:"seconds"`
	Entries int     `json:"entries"`
	// PeerMessages and PeerBytes went between entries, CrossBytes of them between
	// regions.
	PeerMessages     float64 `json:"peerMessages"`
	PeerBytes        float64 `json:"peerBytes"`
	CrossRegionBytes float64 `json:"crossBytes"`
	// StepSeconds is the processor time of all decisions.
	StepSeconds float64 `json:"stepSeconds"`
	Steps       float64 `json:"steps"`
	// ProcessSeconds is the processor time of the entries, requests included, and
	// MostMemory the resident memory of the largest one afterwards, in bytes.
	ProcessSeconds float64 `json:"processSeconds"`
	MaxMemory      float64 `json:"mostMemory"`
	// TableReads and TableWrites count calls of the table service.
	TableReads  int `json:"tableReads"`
	TableWrites int `json:"tableWrites"`
	// Missing says what couldn't be read, so that the cost is partial.
	Missing []string `json:"missing,omitempty"`
}

// Between returns the cost between two states.
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

// addScaled adds the values of a state, or takes them off where sign is -1.
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
