// Package speed learns how fast workers are, from the run times of like tasks.
package speed
