package endive

import "time"

// Interval is a configured duration, such as a default timeout. Code that uses an
// Interval converts it into a deadline first. The text form is like "1.5s".
type Interval time.Duration

// After returns the deadline that lies the interval after now.
func (i Interval) After(now time.Time) time.Time { return now.Add(time.Duration(i)) }

// Default sets the interval to value if it is 0, which means that it was not configured.
func (i *Interval) Default(value Interval) {
	if *i == 0 {
		*i = value
	}
}

// String formats the interval as time.Duration does.
func (i Interval) String() string { return time.Duration(i).String() }

// MarshalText implements encoding.TextMarshaler.
func (i Interval) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Interval) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*i = Interval(d)
	return err
}
