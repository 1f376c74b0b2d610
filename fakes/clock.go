// Package fakes holds test doubles that several packages share: a clock, an in-memory
// table, and a simulation of entries in virtual time.
package fakes

import "time"

// Clock is a clock that moves only when the test calls Advance. It starts at a fixed time.
type Clock struct {
	now time.Time
}

// NewClock returns a Clock at its start time, 2026-01-01 UTC.
func NewClock() *Clock {
	return &Clock{now: time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)}
}

// Now implements endive.Clock.
func (c *Clock) Now() time.Time { return c.now }

// Advance moves the clock forward.
func (c *Clock) Advance(d time.Duration) { c.now = c.now.Add(d) }
