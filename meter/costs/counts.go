package costs

// Counts is the part of the stand-ins' counts that the measures need.
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

// TableCount is how often rows of one kind were asked for.
type TableCount struct {
	Reads  int `json:"reads"`
	Scans  int `json:"scans"`
	Writes int `json:"writes"`
}

// ServiceCount is what the executors of one service count together.
type ServiceCount struct {
	Runs         int `json:"runs"`
	Refused      int `json:"refused"`
	MostBodyRuns int `json:"mostBodyRuns"`
}

// tableReads adds up the tableReads and scans of the table.
func (c Counts) tableReads() int {
	sum := 0
	for _, kind := range c.Table.Kinds {
		sum += kind.Reads + kind.Scans
	}
	return sum
}

// tableWrites adds up the tableWrites of the table.
func (c Counts) tableWrites() int {
	sum := 0
	for _, kind := range c.Table.Kinds {
		sum += kind.Writes
	}
	return sum
}
