package wire_test

import (
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

func TestResourceCount(t *testing.T) {
	is := is.New(t)
	resources := endive.Resources{Processors: 1500, Memory: 3 * endive.GiB, Accelerators: 2}
	is.Equal(wire.NewResourceCount(resources).Resources(), resources)
	is.Equal((*wire.ResourceCount)(nil).Resources(), endive.Resources{}) // a message without Resources
}
