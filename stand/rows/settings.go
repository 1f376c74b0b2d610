package rows

// Defaults of Settings: the limits of the platform's table service.
const (
	DefaultReads  = 2000
	DefaultWrites = 400
)

// Settings limits the requests to the table service per second. Requests above
// the limit are refused with status 503.
type Settings struct {
	// Reads limits the reads and scans per second, Writes the transactions.
	Reads  int `toml:"reads"`
	Writes int `toml:"writes"`
}

// Defaults sets the limits that are zero to their defaults.
func (s *Settings) Defaults() {
	if s.Reads == 0 {
		s.Reads = DefaultReads
	}
	if s.Writes == 0 {
		s.Writes = DefaultWrites
	}
}
