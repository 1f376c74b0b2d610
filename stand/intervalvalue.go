package main

import "endiveroute.example/endive"

// intervalValue is an interval that kingpin parses from a flag.
type intervalValue endive.Interval

// Set implements kingpin.Value.
func (v *intervalValue) Set(text string) error {
	return (*endive.Interval)(v).UnmarshalText([]byte(text))
}

// String implements kingpin.Value.
func (v *intervalValue) String() string { return endive.Interval(*v).String() }
