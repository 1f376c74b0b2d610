package cell

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func TestLoadFindings(t *testing.T) {
	is := is.New(t)
	_, err := parse(`
region = "de"
colour = "red"
[[zones]]
name = "gogledd-1"
region = "gogledd"
[[services]]
name = "quote"
slots = 8
connections = 4
executors = [{ zone = "gogledd-2", count = 0 }]
[[pools]]
name = "planner"
[[entries]]
id = "entry-1"
zone = "gogledd-1"
address = "somewhere"
[[faults]]
fault = "slow"
part = "cellar"
`)
	is.True(endive.ErrInvalid.Has(err))
	var findings endive.Findings
	is.True(errors.As(err, &findings))
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{
		"colour", "region", "services[0].connections", "services[0].executors[0].zone",
		"services[0].executors[0].count", "pools[0].size", "pools[0].workers",
		"entries[0].address", "faults[0].part", "faults[0].delay",
	})
}

func TestBuiltIn(t *testing.T) {
	is := is.New(t)
	var sizes []int
	for _, name := range BuiltIn {
		c, err := Load(name)
		is.NoErr(err)
		sizes = append(sizes, len(c.Instances()))
	}
	is.Equal(sizes, []int{6 + 3 + 6 + 3, 35 + 13 + 35 + 13, 35 + 13 + 35 + 13})
}
