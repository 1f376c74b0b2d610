package costs

// Counts is the part of the simulated services' counts that meter uses.
type Counts struct {
	Table struct {
		Kinds map[string]TableCount `json:"kinds"`
	} `json:"table"`
	Workers struct {
		Starts       int `json:"starts"`
		StartedAgain int `json:"startedAgain"`
		MostAtOnce   int `json:"mostAtOnce"`
		OverSize     int `json:"overSize"`
	} `json:"workers"`
	Services map[string]ServiceCount `json:"services"`
}

// TableCount counts the calls to the table service for rows of one kind.
type TableCount struct {
	Reads  int `json:"reads"`
	Scans  int `json:"scans"`
	Writes int `json:"writes"`
}

// ServiceCount holds the combined counts of all executors of one service.
type ServiceCount struct {
	Runs         int `json:"runs"`
	Refused      int `json:"refused"`
	MostBodyRuns int `json:"mostBodyRuns"`
}

// tableReads returns the number of reads and scans of the table.
func (c Counts) tableReads() int {
	sum := 0
	for _, kind := range c.Table.Kinds {
		sum += kind.Reads + kind.Scans
	}
	return sum
}

// tableWrites returns the number of writes to the table.
func (c Counts) tableWrites() int {
	sum := 0
	for _, kind := range c.Table.Kinds {
		sum += kind.Writes
	}
	return sum
}
