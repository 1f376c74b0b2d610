package flow

import (
	"flag"
	"slices"
	"testing"
)

// playKnownRed makes the tests play what KNOWN-RED.txt lists, too.
var playKnownRed = flag.Bool("red", false, "play the tests and seeds that are known to be red")

// skipKnownRed skips a test that KNOWN-RED.txt lists.
func skipKnownRed(t *testing.T) {
	t.Helper()
	if !*playKnownRed {
		t.Skip("known to be red, see KNOWN-RED.txt; -red plays it")
	}
}

// skipKnownRedSeed skips a seed of a test that KNOWN-RED.txt lists.
func skipKnownRedSeed(t *testing.T, red []int64, seed int64) {
	t.Helper()
	if slices.Contains(red, seed) {
		skipKnownRed(t)
	}
}
