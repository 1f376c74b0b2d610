package cmds

import (
	"io"

	"endiveroute.example/endive"
)

// Env holds the program's environment: standard streams, variables and clock.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv returns the value of an environment variable, or "" if it isn't set.
	Getenv func(name string) string
	Clock  endive.Clock
}
