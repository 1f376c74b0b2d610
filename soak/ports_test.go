package main

import (
	"testing"

	"github.com/matryer/is"
)

// testPorts is the first port of these tests, from which the kernel gives none.
const testPorts = 2_000

func TestEachAddressIsGivenOnce(t *testing.T) {
	is := is.New(t)
	given := make(map[string]bool)
	for range 500 {
		address, err := freeAddress(testPorts)
		is.NoErr(err)
		is.True(!given[address])
		given[address] = true
	}
}
